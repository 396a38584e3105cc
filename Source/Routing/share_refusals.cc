#include "Routing/share_refusals.h"

#include <algorithm>

namespace lacewingbridge {

void ShareRefusals::Record(TimePoint now, const WorkspaceWork& work, std::string_view peer_address,
                           Duration wait) {
  if (work.workspace.empty() || wait <= Duration{0}) {
    return;
  }
  if (this->count >= kMaxEntries) {
    this->RemoveEnded(now);
  }
  if (this->count >= kMaxEntries) {
    return;
  }
  Ends& ends = this->workspaces[std::string(work.workspace)][std::string(peer_address)];
  const bool added = ends.insert_or_assign(work.priority, now + std::min(wait, kMaxWait)).second;
  this->count += added ? 1 : 0;
}

std::vector<std::string> ShareRefusals::FindPeers(TimePoint now, const WorkspaceWork& work) const {
  std::vector<std::string> peers;
  if (const auto known = this->workspaces.find(work.workspace); known != this->workspaces.end()) {
    for (const auto& [peer, ends] : known->second) {
      if (GetWaitAt(now, work.priority, ends) > Duration{0}) {
        peers.push_back(peer);
      }
    }
  }
  return peers;
}

Duration ShareRefusals::GetWait(TimePoint now, const WorkspaceWork& work,
                                std::string_view peer_address) const {
  const auto known = this->workspaces.find(work.workspace);
  if (known == this->workspaces.end()) {
    return Duration{0};
  }
  const auto ends = known->second.find(peer_address);
  return ends == known->second.end() ? Duration{0} : GetWaitAt(now, work.priority, ends->second);
}

Duration ShareRefusals::GetLeastWait(TimePoint now, const WorkspaceWork& work) const {
  Duration least{0};
  for (const std::string& peer : this->FindPeers(now, work)) {
    const Duration wait = this->GetWait(now, work, peer);
    least = least == Duration{0} ? wait : std::min(least, wait);
  }
  return least;
}

Duration ShareRefusals::GetWaitAt(TimePoint now, std::uint32_t priority, const Ends& ends) {
  Duration wait{0};
  for (auto entry = ends.begin(); entry != ends.upper_bound(priority); ++entry) {
    wait = std::max(wait, entry->second - now);
  }
  return wait;
}

void ShareRefusals::RemoveEnded(TimePoint now) {
  for (auto& [workspace, peers] : this->workspaces) {
    for (auto& [peer, ends] : peers) {
      this->count -= std::erase_if(ends, [now](const auto& entry) { return entry.second <= now; });
    }
    std::erase_if(peers, [](const auto& entry) { return entry.second.empty(); });
  }
  std::erase_if(this->workspaces, [](const auto& entry) { return entry.second.empty(); });
}

}  // namespace lacewingbridge
