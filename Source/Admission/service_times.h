#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_SERVICE_TIMES_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_SERVICE_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>

#include "Core/time_point.h"

namespace lacewingbridge {

// Moving averages of the time from admission to the end of a request at one target: one for all
// requests, and one for each class of work.
//
// Not thread-safe.
class ServiceTimes {
 public:
  // If there are more classes, the one whose last request ended first is dropped.
  static constexpr std::size_t kMaxClasses = 64;

  void Record(std::uint32_t work_class, Duration taken);

  Duration GetMean() const { return this->mean; }
  // Returns the moving average of the class, or the one of all requests if no request of the class
  // has ended.
  Duration GetMeanOf(std::uint32_t work_class) const;

 private:
  // Assumed for a new target, until its first request has ended.
  static constexpr Duration kInitialMean = std::chrono::milliseconds(50);
  // The newest time enters a moving average with a weight of 1/16.
  static constexpr int kWeightDivisor = 16;

  struct ClassMean {
    Duration mean{0};
    // Number of the record, to find the class that was recorded least recently.
    std::uint64_t recorded = 0;
  };

  void DropOldestClass();

  Duration mean = kInitialMean;
  std::uint64_t records = 0;
  std::unordered_map<std::uint32_t, ClassMean> classes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_SERVICE_TIMES_H_
