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

// A request that waits in the queue of a service.
struct QueuedRequest {
  RequestId id = 0;
  RequestPriority priority = RequestPriority::kNormal;
  TimePoint deadline;
};

// Stores the waiting requests of a service by rank and finds the one with the earliest deadline
// or the newest arrival within a rank. Rank 0 leaves the queue first. Not thread-safe.
class AdmissionBacklog {
 public:
  void Add(std::size_t rank, const QueuedRequest& request);

  // The Get... and Take... functions require a rank that is not empty. Take... removes the request
  // and returns it.
  const QueuedRequest& GetEarliest(std::size_t rank) const;
  const QueuedRequest& GetNewest(std::size_t rank) const;
  QueuedRequest TakeEarliest(std::size_t rank);
  QueuedRequest TakeNewest(std::size_t rank);

  // Removes one request whose deadline is at or before the given time and returns it; empty if
  // there is none.
  std::optional<QueuedRequest> TakeExpired(TimePoint time);

  std::size_t GetSize(std::size_t rank) const { return this->rank_queues[rank].by_arrival.size(); }

 private:
  // Deadline and sequence number. The number keeps requests with the same deadline in the order
  // of their arrival.
  using DeadlineKey = std::pair<TimePoint, std::uint64_t>;
  // The requests of one rank.
  struct RankQueue {
    std::map<std::uint64_t, QueuedRequest> by_arrival;
    std::map<DeadlineKey, std::uint64_t> by_deadline;
  };

  static QueuedRequest Take(RankQueue& rank_queue, std::uint64_t sequence);

  std::array<RankQueue, kPriorityCount> rank_queues;
  std::uint64_t next_sequence = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_BACKLOG_H_
