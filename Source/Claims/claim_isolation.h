#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Tells an owner that it is cut off from so many hosts that they may remove it from the
// map without its knowledge. It then stops granting new keys, after half of the time
// after which it can be removed.
class ClaimIsolation {
 public:
  ClaimIsolation(TimePoint now, std::string_view own_host, Duration claim_memory)
      : started(now), host(own_host), limit(claim_memory / 2) {}

  // A message of the host has arrived.
  void NoteHeard(TimePoint now, std::string_view from_host);

  bool IsIsolated(TimePoint now, const ClaimOwnerView& view) const;
  // Whether the own host and those heard lately are enough of the map's hosts that the
  // others cannot remove them. Unlike IsIsolated, this holds no benefit of the doubt for a
  // process that has just started.
  bool IsConnected(TimePoint now, const ClaimOwnerView& view) const;

 private:
  TimePoint started;
  std::string host;
  Duration limit;
  std::map<std::string, TimePoint, std::less<>> heard;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_ISOLATION_H_
