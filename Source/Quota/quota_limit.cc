#include "Quota/quota_limit.h"

#include <algorithm>
#include <chrono>

namespace lacewingbridge {

std::uint32_t GetShareCount(const QuotaBound& bound) {
  constexpr double kSlackPerShare = 4;
  constexpr double kMaxShares = 4;
  if (bound.window <= Duration{0}) {
    return 1;
  }
  return static_cast<std::uint32_t>(std::clamp(bound.slack / kSlackPerShare, 1.0, kMaxShares));
}

ShareLimit ComputeShareLimit(const QuotaLimit& limit, const QuotaBound& bound) {
  constexpr double kHeldPart = 0.5;
  // Twice this may be granted again within kReturnTime.
  constexpr double kReturnedPart = 0.15;
  const double window_s = std::chrono::duration<double>(bound.window).count();
  const double extra =
      window_s > 0 ? bound.overage * (limit.rate_per_s * window_s + limit.burst) + bound.slack : 0;
  const double shares = GetShareCount(bound);
  return {limit.rate_per_s / shares, std::max(1.0, (limit.burst + kHeldPart * extra) / shares),
          kReturnedPart * extra / shares};
}

Duration ComputeCreditHorizon(const ShareLimit& share) {
  constexpr double kCapacityPart = 0.5;
  constexpr double kShortestSeconds = 0.1;
  constexpr double kLongestSeconds = 1;
  if (share.rate_per_s <= 0) {
    return Duration{0};
  }
  const double seconds = std::clamp(kCapacityPart * share.capacity / share.rate_per_s,
                                    kShortestSeconds, kLongestSeconds);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace lacewingbridge
