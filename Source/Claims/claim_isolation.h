#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Detects that an owner is partitioned from so many hosts that they may remove it from the
// owner map without its knowledge. The owner then stops granting new keys. Detection takes
// half of the claim lifetime, and the others can remove the owner only after a whole one.
class ClaimIsolation {
 public:
  ClaimIsolation(TimePoint now, std::string_view own_host, Duration claim_lifetime)
      : started(now), host(own_host), limit(claim_lifetime / 2) {}

  // Call for each message that was received from the host.
  void NoteHeard(TimePoint now, std::string_view from_host);

  // Whether messages arrived within half of the claim lifetime from too few hosts of the map.
  // False until that time has passed since the start.
  bool IsIsolated(TimePoint now, const ClaimOwnerView& view) const;
  // Whether this host and the hosts whose messages arrived within half of the claim lifetime
  // are so large a share of the map that the other hosts cannot remove them. Unlike
  // IsIsolated, which reports false during a grace period after the start, this requires
  // messages to have arrived.
  bool IsConnected(TimePoint now, const ClaimOwnerView& view) const;

 private:
  TimePoint started;
  std::string host;
  Duration limit;
  // Time of the last message from each host.
  std::map<std::string, TimePoint, std::less<>> last_messages;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_
