#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_QUOTA_LIMIT_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_QUOTA_LIMIT_H_

#include <chrono>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Bound on the requests of a workspace in any window of this length: what its limit allows, times
// 1 + overage, plus the slack. It is the same for the whole fleet.
struct QuotaBound {
  Duration window{0};
  double overage = 0;
  double slack = 0;
};

// The limit of a workspace over all daemons, and the version of the configuration that states it.
struct QuotaLimit {
  double rate_per_s = 0;
  double burst = 0;
  std::uint64_t version = 0;
};

// The part of a limit that one daemon grants. At most `capacity` is unspent at any time, whether
// it is still with the granting daemon or already with those that hold it.
struct ShareLimit {
  double rate_per_s = 0;
  double capacity = 1;
  // Most credit of requests that did not run which is granted again within kReturnTime. It was
  // already counted as spent, so it comes in addition to the capacity.
  double returns = 0;
};

// Credit that has been granted in advance ends after this time.
inline constexpr Duration kCreditTime = std::chrono::milliseconds(1500);
// A reply that takes longer than this counts as lost.
inline constexpr Duration kAskLimit = std::chrono::milliseconds(250);

// Longest time from when a request takes credit until its return reaches the granting daemon.
inline constexpr Duration kReturnTime = std::chrono::milliseconds(500);

// Number of shares of each workspace. Several shares bridge the loss of a granting daemon, but each
// needs room for a few requests. It does not depend on the limit of the workspace, so that
// daemons with different versions agree on it.
std::uint32_t GetShareCount(const QuotaBound& bound);

// A part of what the bound allows beyond the limit is left for daemons whose lists of hosts differ.
ShareLimit ComputeShareLimit(const QuotaLimit& limit, const QuotaBound& bound);

// Time for which a daemon takes credit in advance. Bounded so that the credit under way leaves the
// share room to refill.
Duration ComputeCreditHorizon(const ShareLimit& share);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_QUOTA_LIMIT_H_
