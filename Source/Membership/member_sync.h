#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_

#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// Decides when to ask a peer for its complete list of members because the hashes of the
// member lists differ. Gossip sends each record a bounded number of times, so after a restart
// of all daemons some daemons miss some records.
class MemberSync {
 public:
  // A shorter difference is caused by updates that are still being gossiped.
  static constexpr Duration kMinDifferenceDuration = std::chrono::seconds(5);
  // A list of 900 members has 86 KB. One list in 30 s stays below 3 KB/s.
  static constexpr Duration kAskInterval = std::chrono::seconds(30);

  // Compares this daemon's hash of the members of its data centre with that of a peer.
  // Returns whether the peer should be asked for its list now.
  bool HandleHash(std::uint64_t own_hash, std::uint64_t peer_hash, TimePoint now);

 private:
  std::optional<TimePoint> differs_since;
  std::optional<TimePoint> last_ask;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_
