#include "Routing/class_times.h"

#include <algorithm>

namespace lacewingbridge {

void ClassTimes::Record(std::uint32_t work_class, Duration time) {
  std::erase_if(this->times,
                [work_class](const ClassTime& entry) { return entry.work_class == work_class; });
  if (this->times.size() >= kMaxClasses) {
    this->times.erase(this->times.begin());
  }
  this->times.push_back({work_class, time});
}

std::optional<Duration> ClassTimes::Find(std::uint32_t work_class) const {
  const auto found =
      std::find_if(this->times.begin(), this->times.end(),
                   [work_class](const ClassTime& entry) { return entry.work_class == work_class; });
  return found == this->times.end() ? std::nullopt : std::optional<Duration>(found->time);
}

void ClassTimeMeans::Add(const ClassTimes& of_target) {
  for (const ClassTime& entry : of_target.GetAll()) {
    Sum& sum = this->sums[entry.work_class];
    sum.time += entry.time;
    ++sum.targets;
  }
}

void ClassTimeMeans::Remove(const ClassTimes& of_target) {
  for (const ClassTime& entry : of_target.GetAll()) {
    const auto found = this->sums.find(entry.work_class);
    if (found != this->sums.end()) {
      found->second.time -= entry.time;
      if (--found->second.targets <= 0) {
        this->sums.erase(found);
      }
    }
  }
}

std::optional<Duration> ClassTimeMeans::Find(std::uint32_t work_class) const {
  const auto found = this->sums.find(work_class);
  return found == this->sums.end() ? std::nullopt
                                   : std::optional(found->second.time / found->second.targets);
}

double ClassTimeMeans::ComputeSlowness(const ClassTimes& of_target) const {
  Duration taken{0};
  Duration usual{0};
  for (const ClassTime& entry : of_target.GetAll()) {
    if (const std::optional<Duration> mean = this->Find(entry.work_class)) {
      taken += entry.time;
      usual += *mean;
    }
  }
  return usual <= Duration{0}
             ? 1
             : static_cast<double>(taken.count()) / static_cast<double>(usual.count());
}

}  // namespace lacewingbridge
