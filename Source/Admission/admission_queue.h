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

// Slots and waiting requests of one service. Every offered id gets exactly one final
// verdict: from Offer, or, if that was kQueued, from a later release. The defaults
// answered the most internal checks in time at the same goodput; see "Overload and choice
// of target" in docs/measurements.md.
template <ReservePolicy Policy = ReserveByLimits, QueueOrder Order = OrderByDeadline>
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  // Sum of the usable slots of the targets; requests that run keep theirs.
  AdmissionRelease SetSlots(TimePoint now, std::uint32_t slots) {
    this->load.slots = slots;
    return this->Release(now);
  }
  void SetQueueLimit(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  AdmissionVerdict Offer(TimePoint now, RequestId id, RequestPriority priority,
                         TimePoint deadline) {
    if (deadline <= now) {
      return AdmissionVerdict::kRefusedDeadline;
    }
    // While a slot is free the estimate refuses nothing: it would otherwise keep a value
    // from a slow time for ever, since no request would run to correct it.
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

  // An admitted request has ended. An unknown id changes nothing.
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

  // Refuses the requests whose deadline has passed or can no longer be met.
  AdmissionRelease Expire(TimePoint now) {
    AdmissionRelease release;
    while (const std::optional<QueuedRequest> due =
               this->backlog.TakeDue(now + this->GetLeastTime())) {
      this->Refuse(*due, release);
    }
    return release;
  }

  const AdmissionLoad& GetLoad() const { return this->load; }
  // Moving time from admission to the end of a request; zero until one has ended.
  Duration GetServiceTime() const { return this->service_time; }

 private:
  // Weight of the newest service time in the moving one, as a divisor.
  static constexpr int kServiceTimeDivisor = 16;
  // A request with less than this part of the moving service time left is not started:
  // about half of the requests need less than the mean, so a smaller rest seldom helps.
  static constexpr int kLeastTimeDivisor = 2;

  struct Running {
    RequestPriority priority;
    TimePoint started_at;
  };

  Duration GetLeastTime() const { return this->service_time / kLeastTimeDivisor; }

  void RecordServiceTime(Duration time) {
    this->service_time =
        this->service_time == Duration{0}
            ? time
            : this->service_time + (time - this->service_time) / kServiceTimeDivisor;
  }

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

  // Time until a request that is queued now is likely to start.
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

  // Starts waiting requests while their policy allows it. Requests of the same rank are
  // subject to the same limit, so the first one that may not start ends its rank.
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
