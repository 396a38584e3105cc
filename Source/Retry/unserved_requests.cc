#include "Retry/unserved_requests.h"

namespace lacewingbridge {

TimePoint UnservedRequests::FindFirstArrival(TimePoint now, std::uint64_t fingerprint) {
  this->Expire(now);
  const auto found = this->arrivals.find(fingerprint);
  return found == this->arrivals.end() ? now : found->second;
}

void UnservedRequests::RecordUnserved(TimePoint first_arrival, std::uint64_t fingerprint) {
  if (this->arrivals.emplace(fingerprint, first_arrival).second) {
    this->order.push_back({first_arrival, fingerprint});
  }
  if (this->order.size() > kMaxRemembered) {
    this->arrivals.erase(this->order.front().fingerprint);
    this->order.pop_front();
  }
}

void UnservedRequests::Expire(TimePoint now) {
  while (!this->order.empty() && now - this->order.front().first_arrival > kRetentionTime) {
    this->arrivals.erase(this->order.front().fingerprint);
    this->order.pop_front();
  }
}

}  // namespace lacewingbridge
