#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_WORK_PACE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_WORK_PACE_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Follows how long work takes on the machine of a target, from figures that the target states with
// its responses: 100 is the usual time. The class is made for machines that are shared with others,
// on which the figure doubles within a moment and returns soon.
//
// An old figure says little about the present. The estimate therefore moves from the last figure to
// the mean as the figure ages, at the rate at which figures have been seen to change.
//
// Not thread-safe; the caller passes the current time.
class WorkPace {
 public:
  void Record(TimePoint now, std::uint32_t percent);

  // Estimates the time that work takes at that time, as a multiple of its mean time; 1 if the
  // target has not stated a figure.
  double EstimateFactor(TimePoint at) const;

  bool IsKnown() const { return this->known; }

  // Mean time until the figure changes.
  Duration GetLifetime() const;

  // Moves a factor towards 1 with its age.
  static double Age(double factor, Duration age, Duration lifetime);

 private:
  // Smaller differences between two figures are not a change.
  static constexpr double kSteadyPercent = 10;
  static constexpr double kMinPercent = 10;
  static constexpr double kMaxPercent = 1000;
  // Assumed until changes have been seen.
  static constexpr Duration kInitialLifetime = std::chrono::milliseconds(500);
  // Time over which the mean and the rate of changes are taken.
  static constexpr Duration kMeanTime = std::chrono::seconds(10);

  bool known = false;
  double last_percent = 100;
  double mean_percent = 100;
  TimePoint recorded_at;
  // Observed time, and the changes in it. Both are halved when the time exceeds kMeanTime.
  Duration observed = kInitialLifetime;
  double changes = 1;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_WORK_PACE_H_
