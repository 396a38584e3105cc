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

// Waiting requests by rank, found by earliest deadline or by newest arrival.
class AdmissionBacklog {
 public:
  void Add(std::size_t rank, const QueuedRequest& request);

  // The caller has checked that the rank is not empty.
  const QueuedRequest& GetEarliest(std::size_t rank) const;
  const QueuedRequest& GetNewest(std::size_t rank) const;
  QueuedRequest TakeEarliest(std::size_t rank);
  QueuedRequest TakeNewest(std::size_t rank);

  // Removes a request whose deadline is not after the given time.
  std::optional<QueuedRequest> TakeDue(TimePoint time);

  std::size_t GetSize(std::size_t rank) const { return this->lanes[rank].by_arrival.size(); }

 private:
  // Requests with the same deadline keep the order of their arrival.
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
