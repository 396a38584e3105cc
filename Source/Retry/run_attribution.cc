#include "Retry/run_attribution.h"

#include <algorithm>

namespace lacewingbridge {

void RunAttribution::RecordStart(TimePoint now, double repeat_share) {
  this->runs.Add(now, 1);
  ++this->running;
  this->running_repeats += repeat_share;
}

void RunAttribution::RecordEnd(double repeat_share) {
  if (this->running == 0) {
    return;
  }
  --this->running;
  this->running_repeats =
      this->running == 0 ? 0 : std::max(this->running_repeats - repeat_share, 0.0);
}

double RunAttribution::GetRepeatShare() const {
  return this->running == 0
             ? 0
             : std::min(this->running_repeats / static_cast<double>(this->running), 1.0);
}

}  // namespace lacewingbridge
