#include "Membership/member_update_queue.h"

#include <algorithm>
#include <utility>

namespace lacewingbridge {

void MemberUpdateQueue::Add(std::string_view host) {
  this->sent_by_host.insert_or_assign(std::string(host), std::size_t{0});
}

void MemberUpdateQueue::Remove(std::string_view host) {
  const auto found = this->sent_by_host.find(host);
  if (found != this->sent_by_host.end()) {
    this->sent_by_host.erase(found);
  }
}

std::vector<std::string> MemberUpdateQueue::ListNext(std::size_t limit) const {
  std::vector<std::pair<std::size_t, std::string_view>> order;
  order.reserve(this->sent_by_host.size());
  for (const auto& [host, sent] : this->sent_by_host) {
    order.emplace_back(sent, host);
  }
  const std::size_t count = std::min(limit, order.size());
  std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count), order.end());
  std::vector<std::string> hosts;
  hosts.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    hosts.emplace_back(order[i].second);
  }
  return hosts;
}

void MemberUpdateQueue::CountTransmission(std::string_view host, std::size_t max_transmissions) {
  const auto found = this->sent_by_host.find(host);
  if (found == this->sent_by_host.end()) {
    return;
  }
  ++found->second;
  if (found->second >= max_transmissions) {
    this->sent_by_host.erase(found);
  }
}

}  // namespace lacewingbridge
