#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_

#include <concepts>

#include "Admission/admission_types.h"

namespace lacewingbridge {

// Decides which waiting request of a rank leaves the queue first: the newest one if TakesNewest
// returns true, else the one with the earliest deadline.
template <typename Order>
concept QueueOrder = requires(const AdmissionLoad& load) {
  { Order::TakesNewest(load) } -> std::same_as<bool>;
};

// Always starts the request with the earliest deadline.
struct OrderByDeadline {
  static bool TakesNewest(const AdmissionLoad& /*load*/) { return false; }
};

// Starts the newest request while the queue is more than half full. An old request is then likely
// to miss its deadline, and its caller may already have given up.
struct OrderNewestUnderOverload {
  static bool TakesNewest(const AdmissionLoad& load) {
    return load.CountQueued() * 2 > load.queue_limit;
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_QUEUE_ORDER_H_
