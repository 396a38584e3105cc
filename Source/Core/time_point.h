#ifndef LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_
#define LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_

#include <chrono>
#include <ratio>

namespace lacewingbridge {

using Duration = std::chrono::duration<long long, std::micro>;

// The time that decision logic is given. The front end says what it stands for;
// the daemon uses the monotonic clock, tests count from zero.
struct LogicalClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<LogicalClock, Duration>;
  static constexpr bool is_steady = true;
};

using TimePoint = LogicalClock::time_point;

// Whole milliseconds of a duration, for messages and logs.
constexpr long long CountMilliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_TIME_POINT_H_
