#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_

#include <cstdint>
#include <unordered_map>

#include "Admission/admission_backlog.h"
#include "Admission/admission_types.h"
#include "Admission/queue_order.h"
#include "Admission/reserve_policy.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Slots and waiting requests of one service. Every offered id gets exactly one verdict:
// from Offer, or, if that was kQueued, from a later release.
template <ReservePolicy Policy = ReserveShare, QueueOrder Order = OrderByDeadline>
class AdmissionQueue {
 public:
  explicit AdmissionQueue(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  // Sum of the usable slots of the targets; requests that run keep theirs.
  AdmissionRelease SetSlots(TimePoint now, std::uint32_t slots) {
    this->load.slots = slots;
    return this->Release(now);
  }
  void SetQueueLimit(std::uint32_t queue_limit) { this->load.queue_limit = queue_limit; }

  AdmissionVerdict Offer(TimePoint now, RequestId id, RequestPriority priority, TimePoint deadline);

  // An admitted request has ended. An unknown id changes nothing.
  AdmissionRelease Finish(TimePoint now, RequestId id);

  // Refuses the requests whose deadline can no longer be met.
  AdmissionRelease Expire(TimePoint now);

  const AdmissionLoad& GetLoad() const { return this->load; }
  // Moving time from admission to the end of a request; zero until one has ended.
  Duration GetServiceTime() const { return this->service_time; }

 private:
  struct Running {
    RequestPriority priority;
    TimePoint started_at;
  };

  void Start(TimePoint now, RequestId id, RequestPriority priority);
  void ExpireInto(TimePoint now, AdmissionRelease& release);
  AdmissionRelease Release(TimePoint now);
  Duration EstimateWait(RequestPriority priority) const;

  AdmissionLoad load;
  AdmissionBacklog backlog;
  std::unordered_map<RequestId, Running> running;
  Duration service_time{0};
};

}  // namespace lacewingbridge

#include "Admission/admission_queue_impl.h"

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_QUEUE_H_
