#include "Claims/claim_isolation.h"

#include <algorithm>
#include <cstddef>

#include "Claims/claim_owner_planner.h"

namespace lacewingbridge {

void ClaimIsolation::NoteHeard(TimePoint now, std::string_view from_host) {
  const auto found = this->last_messages.find(from_host);
  if (found == this->last_messages.end()) {
    this->last_messages.emplace(from_host, now);
  } else {
    found->second = now;
  }
}

bool ClaimIsolation::IsIsolated(TimePoint now, const ClaimOwnerView& view) const {
  return now - this->started >= this->limit && !this->IsConnected(now, view);
}

bool ClaimIsolation::IsConnected(TimePoint now, const ClaimOwnerView& view) const {
  const std::span<const std::string> hosts = view.GetHosts();
  const auto reached = static_cast<std::size_t>(
      std::count_if(hosts.begin(), hosts.end(), [this, now](const std::string& name) {
        const auto found = this->last_messages.find(name);
        return name == this->host ||
               (found != this->last_messages.end() && now - found->second < this->limit);
      }));
  return reached * kIsolationDivisor >= hosts.size();
}

}  // namespace lacewingbridge
