#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_

#include <concepts>
#include <cstddef>
#include <cstdint>

#include "Admission/admission_types.h"

namespace lacewingbridge {

// Decides how slots and queue places are shared between priorities.
template <typename Policy>
concept ReservePolicy = requires(RequestPriority priority, const AdmissionLoad& load) {
  // Requests of a lower rank leave the queue first.
  { Policy::GetRank(priority) } -> std::same_as<std::size_t>;
  { Policy::MayStart(priority, load) } -> std::same_as<bool>;
  { Policy::MayQueue(priority, load) } -> std::same_as<bool>;
};

// Treats all priorities alike.
struct ReserveNone {
  static std::size_t GetRank(RequestPriority /*priority*/) { return 0; }
  static bool MayStart(RequestPriority priority, const AdmissionLoad& load);
  static bool MayQueue(RequestPriority priority, const AdmissionLoad& load);
};

// Orders by priority and limits how many slots may be busy, with any requests, when a
// request of a priority starts.
struct ReserveByLimits {
  static std::size_t GetRank(RequestPriority priority) {
    return static_cast<std::size_t>(priority);
  }
  static bool MayStart(RequestPriority priority, const AdmissionLoad& load);
  static bool MayQueue(RequestPriority priority, const AdmissionLoad& load);
};

// Orders by priority and keeps a share of the slots for internal checks, which other
// requests never occupy.
struct ReserveShare {
  static std::size_t GetRank(RequestPriority priority) {
    return static_cast<std::size_t>(priority);
  }
  static bool MayStart(RequestPriority priority, const AdmissionLoad& load);
  static bool MayQueue(RequestPriority priority, const AdmissionLoad& load);
  static std::uint32_t GetReservedSlots(std::uint32_t slots);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_
