#include "Claims/claim_owner_view.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

#include "Core/hash.h"

namespace lacewingbridge {

struct ClaimOwnerView::Content {
  ClaimOwnerMap map;
  // Hashes of the host names, by position. Hashing 900 names for each claim would cost more
  // than the rest of the decision.
  std::vector<std::uint64_t> host_hashes;
};

bool ClaimOwnerView::Adopt(ClaimOwnerMap map) {
  if (map.epoch <= this->GetEpoch()) {
    return false;
  }
  auto next = std::make_shared<Content>();
  next->map = std::move(map);
  next->host_hashes.reserve(next->map.hosts.size());
  for (const std::string& host : next->map.hosts) {
    next->host_hashes.push_back(HashBytes(host));
  }
  this->content = std::move(next);
  return true;
}

ClaimOwnerMap ClaimOwnerView::GetMap() const {
  return this->content == nullptr ? ClaimOwnerMap{} : this->content->map;
}

std::uint64_t ClaimOwnerView::GetEpoch() const {
  return this->content == nullptr ? 0 : this->content->map.epoch;
}

std::uint64_t ClaimOwnerView::GetCreationTime() const {
  return this->content == nullptr ? 0 : this->content->map.created_unix_ms;
}

std::span<const std::string> ClaimOwnerView::GetHosts() const {
  if (this->content == nullptr) {
    return {};
  }
  return this->content->map.hosts;
}

bool ClaimOwnerView::HasHost(std::string_view host) const {
  const std::span<const std::string> hosts = this->GetHosts();
  return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

std::string_view ClaimOwnerView::FindOwner(std::string_view key) const {
  const std::span<const std::string> hosts = this->GetHosts();
  if (hosts.empty()) {
    return {};
  }
  const std::uint64_t key_hash = HashBytes(key);
  std::size_t best = 0;
  std::uint64_t best_weight = CombineHashes(key_hash, this->content->host_hashes[0]);
  for (std::size_t i = 1; i < hosts.size(); ++i) {
    const std::uint64_t weight = CombineHashes(key_hash, this->content->host_hashes[i]);
    if (weight > best_weight || (weight == best_weight && hosts[i] < hosts[best])) {
      best = i;
      best_weight = weight;
    }
  }
  return hosts[best];
}

bool ClaimOwnerView::WasAddedWithIncarnation(std::string_view host,
                                             std::uint64_t incarnation) const {
  const std::span<const std::string> hosts = this->GetHosts();
  const auto found = std::find(hosts.begin(), hosts.end(), host);
  return found != hosts.end() &&
         this->GetIncarnation(static_cast<std::size_t>(found - hosts.begin())) == incarnation;
}

std::uint64_t ClaimOwnerView::GetIncarnation(std::size_t index) const {
  const std::vector<std::uint64_t>& incarnations = this->content->map.incarnations;
  return index < incarnations.size() ? incarnations[index] : 0;
}

}  // namespace lacewingbridge
