#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RESEND_DELAY_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RESEND_DELAY_H_

#include <algorithm>
#include <optional>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns the delay after which a refused caller should resend its request. The delay is random,
// because the refused callers of a burst would otherwise all resend at the same moment.
//
// Returns nothing if a resend cannot succeed. Callers honour a delay of at most a third of the
// time that they have left, and the time after the delay has to be enough for the work.
template <std::uniform_random_bit_generator Random>
std::optional<Duration> ComputeResendDelay(Duration expected_wait, Duration time_left,
                                           Duration work_time, Random& random) {
  // A request that is resent sooner finds the same queue: about one short request ends in 30 ms.
  constexpr Duration kMinDelay = std::chrono::milliseconds(30);
  constexpr int kTimeLeftDivisor = 3;
  const Duration most = time_left / kTimeLeftDivisor;
  const Duration earliest = std::max(expected_wait, kMinDelay);
  if (earliest > most || time_left - earliest < work_time) {
    return std::nullopt;
  }
  // The delays are spread over half of the wait, so that the resends do not form a new burst.
  const Duration latest = std::min(earliest + earliest / 2, most);
  return Duration(
      std::uniform_int_distribution<Duration::rep>(earliest.count(), latest.count())(random));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RESEND_DELAY_H_
