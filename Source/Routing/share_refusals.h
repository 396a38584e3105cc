#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// Work of a workspace at a priority; 0 is the most urgent one.
struct WorkspaceWork {
  // Empty on public routes and without workspaces.
  std::string_view workspace;
  std::uint32_t priority = 0;
};

// The peers that have refused work of a workspace because it is beyond its fair share there. They
// would refuse further work of the workspace that is not more urgent as well, so it is not offered
// there for the time that they state. Targets compare shares only among work of one priority.
//
// Not thread-safe; the caller passes the current time.
class ShareRefusals {
 public:
  // Other workspaces may ask for less at any time, so a refusal counts only as long as a report of
  // a peer does.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(1000);
  // Beyond this number, refusals are not recorded.
  static constexpr std::size_t kMaxEntries = 4096;

  // Records the refusal of a peer with the time until the workspace has room in its share there.
  // A time of zero, which is that of any other answer, is ignored: the answer may be to an earlier
  // request.
  void Record(TimePoint now, const WorkspaceWork& work, std::string_view peer_address,
              Duration wait);

  // Returns the peers to which the work is not offered now.
  std::vector<std::string> FindPeers(TimePoint now, const WorkspaceWork& work) const;
  // Returns the time until the work is offered to the peer again; zero if it is now.
  Duration GetWait(TimePoint now, const WorkspaceWork& work, std::string_view peer_address) const;

  // Returns the time until the first of these peers is offered work again; zero if there is none.
  Duration GetLeastWait(TimePoint now, const WorkspaceWork& work) const;

  std::size_t GetCount() const { return this->count; }

 private:
  // End of each refusal of a peer, by the priority of the refused work.
  using Ends = std::map<std::uint32_t, TimePoint>;
  using Peers = std::map<std::string, Ends, std::less<>>;

  static Duration GetWaitAt(TimePoint now, std::uint32_t priority, const Ends& ends);
  void RemoveEnded(TimePoint now);

  std::map<std::string, Peers, std::less<>> workspaces;
  std::size_t count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_
