#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RUN_ATTRIBUTION_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RUN_ATTRIBUTION_H_

#include <cstddef>

#include "Core/time_point.h"
#include "Retry/window_counter.h"

namespace lacewingbridge {

// Relates the requests that leave a host to the runs of its target that may have made them as
// calls. Nothing in a request tells whether the target or another caller of the host sent it, nor
// for which run, so the relation is by time: a request that arrives while the target runs n
// requests, r of which are repeats, is a call of a repeat with a probability of r / n.
//
// Not thread-safe.
class RunAttribution {
 public:
  // Sets the time span of CountRuns.
  void SetWindow(Duration window) { this->runs.SetWindow(window); }

  // `repeat_share` is the probability that the run is a repeat. RecordEnd gets the same value.
  void RecordStart(TimePoint now, double repeat_share);
  void RecordEnd(double repeat_share);

  // Returns the probability that a request of this host that arrives now is a call of a repeat.
  double GetRepeatShare() const;

  // Returns the expected number of running repeats.
  double GetRunningRepeats() const { return this->running_repeats; }
  // Returns the number of runs that were started within the window.
  double CountRuns(TimePoint now) const { return this->runs.GetSum(now); }

  // Records that a request of this host was refused or failed.
  void RecordFailedCall(TimePoint now) { this->last_failed_call = now; }
  // Whether a call may have failed during a run that started at that time.
  bool HasFailedCallSince(TimePoint start) const { return this->last_failed_call >= start; }

 private:
  std::size_t running = 0;
  double running_repeats = 0;
  WindowCounter runs;
  TimePoint last_failed_call = TimePoint::min();
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RUN_ATTRIBUTION_H_
