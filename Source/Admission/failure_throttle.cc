#include "Admission/failure_throttle.h"

#include <algorithm>

namespace lacewingbridge {

bool FailureThrottle::TryAdmit() {
  if (!this->IsThrottling()) {
    return true;
  }
  if (++this->refused < kTrialInterval) {
    return false;
  }
  this->refused = 0;
  return true;
}

void FailureThrottle::RecordEnd(bool failed) {
  this->failures_in_row = failed ? std::min(this->failures_in_row + 1, kFailuresInRow) : 0;
  if (!failed) {
    this->refused = 0;
  }
}

}  // namespace lacewingbridge
