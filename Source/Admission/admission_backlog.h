#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_BACKLOG_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_BACKLOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "Admission/admission_types.h"
#include "Core/time_point.h"

namespace lacewingbridge {

struct QueuedRequest {
  RequestId id = 0;
  RequestPriority priority = RequestPriority::kNormal;
  TimePoint deadline;
};

// Waiting requests, by priority, found by earliest deadline or by newest arrival.
class AdmissionBacklog {
 public:
  void Add(const QueuedRequest& request);

  std::optional<QueuedRequest> FindEarliest(RequestPriority priority) const;
  // Removes the request with the earliest deadline, or the newest one.
  std::optional<QueuedRequest> TakeEarliest(RequestPriority priority);
  std::optional<QueuedRequest> TakeNewest(RequestPriority priority);
  // Removes a request whose deadline is before the given time.
  std::optional<QueuedRequest> TakeDueBefore(TimePoint time);

 private:
  using DeadlineKey = std::pair<TimePoint, std::uint64_t>;
  struct Lane {
    std::map<std::uint64_t, QueuedRequest> by_arrival;
    std::map<DeadlineKey, std::uint64_t> by_deadline;
  };

  static QueuedRequest Take(Lane& lane, std::uint64_t sequence);

  std::array<Lane, kPriorityCount> lanes;
  std::uint64_t next_sequence = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_BACKLOG_H_
