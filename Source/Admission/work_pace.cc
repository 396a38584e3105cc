#include "Admission/work_pace.h"

#include <algorithm>
#include <cmath>

namespace lacewingbridge {

double WorkPace::Age(double factor, Duration age, Duration lifetime) {
  const double ages = static_cast<double>(std::max(age, Duration{0}).count()) /
                      static_cast<double>(std::max(lifetime, Duration{1}).count());
  return 1 + (factor - 1) * std::exp(-ages);
}

void WorkPace::Record(TimePoint now, std::uint32_t percent) {
  const double figure = std::clamp<double>(percent, kMinPercent, kMaxPercent);
  const Duration gap = this->known ? std::max(now - this->recorded_at, Duration{0}) : Duration{0};
  if (gap > Duration{0}) {
    const double weight =
        std::min(static_cast<double>(gap.count()) / static_cast<double>(kMeanTime.count()), 1.0);
    this->mean_percent += (figure - this->mean_percent) * weight;
    this->observed += std::min(gap, kMeanTime);
  }
  if (this->known && std::abs(figure - this->last_percent) > kSteadyPercent) {
    this->changes += 1;
  }
  if (this->observed > kMeanTime) {
    this->observed /= 2;
    this->changes /= 2;
  }
  this->last_percent = figure;
  this->recorded_at = now;
  this->known = true;
}

double WorkPace::EstimateFactor(TimePoint at) const {
  if (!this->known) {
    return 1;
  }
  return Age(this->last_percent / this->mean_percent, at - this->recorded_at, this->GetLifetime());
}

Duration WorkPace::GetLifetime() const {
  return std::chrono::duration_cast<Duration>(this->observed / std::max(this->changes, 1.0));
}

}  // namespace lacewingbridge
