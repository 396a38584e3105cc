#ifndef LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_
#define LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_

#include <chrono>
#include <cstdint>
#include <ratio>

namespace lacewingbridge {

using Duration = std::chrono::duration<std::int64_t, std::micro>;

// The time that decision logic is given. The front end says what it stands for;
// the daemon uses the monotonic clock, tests count from zero.
struct LogicalClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<LogicalClock, Duration>;
  // The standard prescribes this name for clocks.
  static constexpr bool is_steady = true;  // NOLINT(readability-identifier-naming)
};

using TimePoint = LogicalClock::time_point;

// Whole milliseconds of a duration, for messages and logs.
constexpr std::int64_t CountMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_
