#include "Routing/share_refusals.h"

#include <algorithm>

namespace lacewingbridge {

void ShareRefusals::Record(TimePoint now, std::string_view workspace, std::string_view peer_address,
                           Duration wait) {
  if (workspace.empty() || wait <= Duration{0}) {
    return;
  }
  if (this->count >= kMaxEntries) {
    this->RemoveEnded(now);
  }
  if (this->count >= kMaxEntries) {
    return;
  }
  const TimePoint end = now + std::min(wait, kMaxWait);
  const bool added =
      this->ends[std::string(workspace)].insert_or_assign(std::string(peer_address), end).second;
  this->count += added ? 1 : 0;
}

std::vector<std::string> ShareRefusals::FindPeers(TimePoint now, std::string_view workspace) const {
  std::vector<std::string> peers;
  if (const auto known = this->ends.find(workspace); known != this->ends.end()) {
    for (const auto& [peer, end] : known->second) {
      if (end > now) {
        peers.push_back(peer);
      }
    }
  }
  return peers;
}

Duration ShareRefusals::GetWait(TimePoint now, std::string_view workspace,
                                std::string_view peer_address) const {
  const auto known = this->ends.find(workspace);
  if (known == this->ends.end()) {
    return Duration{0};
  }
  const auto end = known->second.find(peer_address);
  return end == known->second.end() ? Duration{0} : std::max(end->second - now, Duration{0});
}

Duration ShareRefusals::GetLeastWait(TimePoint now, std::string_view workspace) const {
  Duration least{0};
  for (const std::string& peer : this->FindPeers(now, workspace)) {
    const Duration wait = this->GetWait(now, workspace, peer);
    least = least == Duration{0} ? wait : std::min(least, wait);
  }
  return least;
}

void ShareRefusals::RemoveEnded(TimePoint now) {
  for (auto& [workspace, peers] : this->ends) {
    this->count -= std::erase_if(peers, [now](const auto& end) { return end.second <= now; });
  }
  std::erase_if(this->ends, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace lacewingbridge
