#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_FAILURE_THROTTLE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_FAILURE_THROTTLE_H_

#include <cstdint>

namespace lacewingbridge {

// Limits the requests that a target receives while it fails every one of them. Such a target often
// responds at once and passes its health check, so it looks like the fastest of its service and
// draws work from the others. All its requests pass through this daemon, which therefore sees the
// failure first and exactly.
//
// After several failures in a row only one request in kTrialInterval is passed on; the others are
// refused, so that their callers' daemons choose another target. The first success ends this. The
// fraction that is passed on does not depend on time, so a service whose targets all fail still
// gets a part of its requests through.
//
// Not thread-safe.
class FailureThrottle {
 public:
  // A target that fails half of its requests reaches this once in about 500 requests.
  static constexpr std::uint32_t kFailuresInRow = 8;
  static constexpr std::uint32_t kTrialInterval = 12;

  // Returns whether a request that arrives now may be passed on.
  bool TryAdmit();

  // Records the end of a request that the target has run, or that was lost while it ran. A failure
  // that a call of the request caused must not be recorded.
  void RecordEnd(bool failed);

  bool IsThrottling() const { return this->failures_in_row >= kFailuresInRow; }

  // Forgets the failures, because the target has started anew.
  void Reset() { *this = FailureThrottle(); }

 private:
  std::uint32_t failures_in_row = 0;
  std::uint32_t refused = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_FAILURE_THROTTLE_H_
