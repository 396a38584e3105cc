#include "Admission/service_times.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

void UpdateMovingAverage(Duration& average, Duration newest, int divisor) {
  average += (newest - average) / divisor;
}

}  // namespace

void ServiceTimes::Record(std::uint32_t work_class, Duration taken) {
  auto [of_class, added] = this->classes.try_emplace(work_class, ClassMean{taken, 0});
  UpdateMovingAverage(of_class->second.mean, taken, kWeightDivisor);
  of_class->second.recorded = ++this->records;
  UpdateMovingAverage(this->mean, taken, kWeightDivisor);
  if (this->classes.size() > kMaxClasses) {
    this->DropOldestClass();
  }
}

Duration ServiceTimes::GetMeanOf(std::uint32_t work_class) const {
  const auto found = this->classes.find(work_class);
  return found == this->classes.end() ? this->mean : found->second.mean;
}

void ServiceTimes::DropOldestClass() {
  this->classes.erase(std::min_element(this->classes.begin(), this->classes.end(),
                                       [](const auto& left, const auto& right) {
                                         return left.second.recorded < right.second.recorded;
                                       }));
}

}  // namespace lacewingbridge
