#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_CLASS_TIMES_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_CLASS_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// Mean time that requests of one class of work take at a target.
struct ClassTime {
  std::uint32_t work_class = 0;
  Duration time{0};
};

// The newest mean time of each class that a target has reported. If there are too many classes, the
// one that was reported least recently is dropped.
class ClassTimes {
 public:
  static constexpr std::size_t kMaxClasses = 8;

  void Record(std::uint32_t work_class, Duration time);
  std::optional<Duration> Find(std::uint32_t work_class) const;
  // In the order in which they were reported, the newest one last.
  std::span<const ClassTime> GetAll() const { return this->times; }

 private:
  std::vector<ClassTime> times;
};

// Mean time of each class over the targets of a service. The mean does not depend on how often a
// target reports, so targets that run different mixtures of classes can be compared by it.
//
// Not thread-safe.
class ClassTimeMeans {
 public:
  void Add(const ClassTimes& of_target);
  // Removes what was added for a target.
  void Remove(const ClassTimes& of_target);
  void Clear() { this->sums.clear(); }

  std::optional<Duration> Find(std::uint32_t work_class) const;

  // Returns the time that the target takes for its classes as a multiple of their means; 1 if it
  // has reported none.
  double ComputeSlowness(const ClassTimes& of_target) const;

 private:
  struct Sum {
    Duration time{0};
    std::int64_t targets = 0;
  };
  std::unordered_map<std::uint32_t, Sum> sums;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_CLASS_TIMES_H_
