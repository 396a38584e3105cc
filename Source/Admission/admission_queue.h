#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "Admission/admission_backlog.h"
#include "Admission/admission_types.h"
#include "Admission/queue_order.h"
#include "Admission/reserve_policy.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Admits the requests of one service to its slots and queues those that have to wait. Every
// offered id gets exactly one final decision: from Offer, or, if Offer returned kQueued, from the
// AdmissionRelease of a later call. Not thread-safe; the caller passes the current time.
//
// Policy decides how slots and queue capacity are shared between priorities, Order which waiting
// request starts next. Of the combinations compared, the defaults completed the most internal
// checks in time at the same goodput; see "Overload and choice of target" in
// docs/measurements.md.
template <ReservePolicy Policy = ReserveByLimits, QueueOrder Order = OrderByDeadline>
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  // Sets the number of slots, the sum of the usable slots of the targets. Requests that are already
  // running keep their slots.
  AdmissionRelease SetSlots(TimePoint now, std::uint32_t slots) {
    this->load.slots = slots;
    return this->Release(now);
  }
  void SetQueueLimit(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  // Admits, queues or refuses a request.
  AdmissionVerdict Offer(TimePoint now, RequestId id, RequestPriority priority,
                         TimePoint deadline) {
    if (deadline <= now) {
      return AdmissionVerdict::kRefusedDeadline;
    }
    // While a slot is free, the estimated wait is not checked. An estimate from a slow period
    // could otherwise refuse all requests, and none would run to correct it.
    if (Policy::MayStart(priority, this->load)) {
      this->Start(now, id, priority);
      return AdmissionVerdict::kAdmitted;
    }
    const std::optional<AdmissionVerdict> refusal = this->FindRefusal(now, priority, deadline);
    if (refusal.has_value()) {
      return *refusal;
    }
    this->backlog.Add(Policy::GetRank(priority), {id, priority, deadline});
    ++this->load.queued[static_cast<std::size_t>(priority)];
    return AdmissionVerdict::kQueued;
  }

  // Frees the slot of an admitted request that has ended. Ignores an unknown id.
  AdmissionRelease Finish(TimePoint now, RequestId id) {
    const auto found = this->running.find(id);
    if (found == this->running.end()) {
      return {};
    }
    this->RecordServiceTime(now - found->second.started_at);
    --this->load.running[static_cast<std::size_t>(found->second.priority)];
    this->running.erase(found);
    return this->Release(now);
  }

  // Refuses the waiting requests whose deadline has passed or can no longer be met.
  AdmissionRelease Expire(TimePoint now) {
    AdmissionRelease release;
    while (const std::optional<QueuedRequest> expired =
               this->backlog.TakeExpired(now + this->GetLeastTime())) {
      this->Refuse(*expired, release);
    }
    return release;
  }

  const AdmissionLoad& GetLoad() const { return this->load; }
  // Moving average of the time from admission to the end of a request; zero until one has ended.
  Duration GetServiceTime() const { return this->service_time; }

 private:
  // The newest service time enters the moving average with a weight of 1/16.
  static constexpr int kServiceTimeDivisor = 16;
  // A request is refused when the time to its deadline is at most half of the average service
  // time. About half of the requests need less than the mean, so a request with so little time
  // left seldom ends in time.
  static constexpr int kLeastTimeDivisor = 2;

  struct Running {
    RequestPriority priority;
    TimePoint started_at;
  };

  // Minimum time to the deadline with which a waiting request can still start.
  Duration GetLeastTime() const { return this->service_time / kLeastTimeDivisor; }

  void RecordServiceTime(Duration time) {
    this->service_time =
        this->service_time == Duration{0}
            ? time
            : this->service_time + (time - this->service_time) / kServiceTimeDivisor;
  }

  // Returns the reason for which a request may not wait; empty if it may.
  std::optional<AdmissionVerdict> FindRefusal(TimePoint now, RequestPriority priority,
                                              TimePoint deadline) const {
    if (this->load.slots == 0) {
      return AdmissionVerdict::kRefusedNoSlots;
    }
    if (this->load.CountQueued() >= this->load.queue_limit) {
      return AdmissionVerdict::kRefusedQueueFull;
    }
    if (!Policy::MayQueue(priority, this->load)) {
      return priority == RequestPriority::kLow ? AdmissionVerdict::kRefusedLowPriority
                                               : AdmissionVerdict::kRefusedQueueFull;
    }
    if (now + this->EstimateWait(priority) + this->service_time > deadline) {
      return AdmissionVerdict::kRefusedDeadline;
    }
    return std::nullopt;
  }

  // Estimates the time until a request that is queued now starts.
  Duration EstimateWait(RequestPriority priority) const {
    std::size_t ahead = 0;
    for (std::size_t rank = 0; rank <= Policy::GetRank(priority); ++rank) {
      ahead += this->backlog.GetSize(rank);
    }
    return this->service_time * static_cast<Duration::rep>(ahead + 1) / this->load.slots;
  }

  void Start(TimePoint now, RequestId id, RequestPriority priority) {
    this->running.emplace(id, Running{priority, now});
    ++this->load.running[static_cast<std::size_t>(priority)];
  }

  void Refuse(const QueuedRequest& request, AdmissionRelease& release) {
    --this->load.queued[static_cast<std::size_t>(request.priority)];
    release.refused.push_back(request.id);
  }

  // Starts waiting requests while the policy allows it. The requests of a rank are subject to the
  // same limit, so the loop leaves a rank at the first request that may not start.
  AdmissionRelease Release(TimePoint now) {
    AdmissionRelease release = this->Expire(now);
    for (std::size_t rank = 0; rank < kPriorityCount; ++rank) {
      while (this->backlog.GetSize(rank) > 0) {
        const bool newest = Order::TakesNewest(this->load);
        const RequestPriority priority = newest ? this->backlog.GetNewest(rank).priority
                                                : this->backlog.GetEarliest(rank).priority;
        if (!Policy::MayStart(priority, this->load)) {
          break;
        }
        const QueuedRequest request =
            newest ? this->backlog.TakeNewest(rank) : this->backlog.TakeEarliest(rank);
        --this->load.queued[static_cast<std::size_t>(priority)];
        this->Start(now, request.id, priority);
        release.admitted.push_back(request.id);
      }
    }
    return release;
  }

  AdmissionLoad load;
  AdmissionBacklog backlog;
  std::unordered_map<RequestId, Running> running;
  Duration service_time{0};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_
