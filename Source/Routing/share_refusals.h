#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// The peers that have refused work of a workspace because it is beyond its fair share there. They
// would refuse further work of the workspace as well, so it is not offered there for the time that
// they state.
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
  void Record(TimePoint now, std::string_view workspace, std::string_view peer_address,
              Duration wait);

  // Returns the peers to which work of the workspace is not offered now.
  std::vector<std::string> FindPeers(TimePoint now, std::string_view workspace) const;
  // Returns the time until work of the workspace is offered to the peer again; zero if it is now.
  Duration GetWait(TimePoint now, std::string_view workspace, std::string_view peer_address) const;

  // Returns the time until the first of these peers is offered work again; zero if there is none.
  Duration GetLeastWait(TimePoint now, std::string_view workspace) const;

  std::size_t GetCount() const { return this->count; }

 private:
  using Ends = std::map<std::string, TimePoint, std::less<>>;

  void RemoveEnded(TimePoint now);

  // End of each refusal, by workspace and peer.
  std::map<std::string, Ends, std::less<>> ends;
  std::size_t count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_SHARE_REFUSALS_H_
