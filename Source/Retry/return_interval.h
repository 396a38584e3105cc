#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETURN_INTERVAL_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETURN_INTERVAL_H_

#include <algorithm>
#include <optional>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Time after which a refused caller should send its request again. The load pattern it
// answers: a burst whose refused callers would otherwise all return at the same moment.
//
// Empty when a return cannot succeed: callers honour at most a third of the time that they
// have left, and the rest has to be enough for the work.
template <std::uniform_random_bit_generator Random>
std::optional<Duration> ComputeReturnInterval(Duration expected_wait, Duration time_left,
                                              Duration work_time, Random& random) {
  // Returns earlier than this meet the same queue; about one short request ends meanwhile.
  constexpr Duration kLeastInterval = std::chrono::milliseconds(30);
  constexpr int kHonouredDivisor = 3;
  const Duration most = time_left / kHonouredDivisor;
  const Duration earliest = std::max(expected_wait, kLeastInterval);
  if (earliest > most || time_left - earliest < work_time) {
    return std::nullopt;
  }
  // Returns are spread over half of the wait, so that they do not arrive as a new burst.
  const Duration latest = std::min(earliest + earliest / 2, most);
  return Duration(
      std::uniform_int_distribution<Duration::rep>(earliest.count(), latest.count())(random));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETURN_INTERVAL_H_
