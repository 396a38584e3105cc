#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_

#include <concepts>

#include "Admission/admission_types.h"

namespace lacewingbridge {

// Decides whether the newest request leaves the queue first instead of the one with
// the earliest deadline.
template <typename Order>
concept QueueOrder = requires(const AdmissionLoad& load) {
  { Order::TakesNewest(load) } -> std::same_as<bool>;
};

struct OrderByDeadline {
  static bool TakesNewest(const AdmissionLoad& /*load*/) { return false; }
};

// Newest first while the queue is more than half full: an old request is then likely
// to miss its deadline, and its caller may have left.
struct OrderNewestUnderOverload {
  static bool TakesNewest(const AdmissionLoad& load) {
    return load.CountQueued() * 2 > load.queue_limit;
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_
