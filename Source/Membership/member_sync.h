#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_

#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// Decides when to ask a peer for its list of members because the hashes of the members
// differ. Gossip sends each record a bounded number of times, so that after a restart of
// all daemons some records miss some daemons.
class MemberSync {
 public:
  // Differences that last shorter are news under way.
  static constexpr Duration kPatience = std::chrono::seconds(5);
  // A list of 900 members has 86 KB; one in 30 s stays below 3 KB/s.
  static constexpr Duration kAskInterval = std::chrono::seconds(30);

  // Compares the hashes of the own data centre; true when the sender should be asked.
  bool HandleHash(std::uint64_t own_hash, std::uint64_t peer_hash, TimePoint now);

 private:
  std::optional<TimePoint> differs_since;
  std::optional<TimePoint> last_ask;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SYNC_H_
