#ifndef LACEWINGBRIDGE_SOURCE_OBSERVE_LINE_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_OBSERVE_LINE_BUDGET_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

struct LineVerdict {
  bool write = false;
  // Lines left out since the last one that was written.
  std::uint64_t dropped_before = 0;
};

// Bounds the log lines of one kind of event by a token bucket.
class LineBudget {
 public:
  // A line costs about 10 us of processor time: 100 lines a second take 0.1% of a core
  // for each kind of event, and a burst of 300 does not delay requests.
  static constexpr double kLinesPerSecond = 100;
  static constexpr double kBurst = 300;

  LineVerdict Take(TimePoint now);

 private:
  double tokens = kBurst;
  TimePoint filled_at;
  std::uint64_t dropped = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_OBSERVE_LINE_BUDGET_H_
