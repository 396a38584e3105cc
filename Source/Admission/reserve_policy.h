#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_

#include <concepts>
#include <cstddef>
#include <cstdint>

#include "Admission/admission_types.h"

namespace lacewingbridge {

// Decides how slots and queue capacity are shared between priorities. MayStart says whether a
// request may take a slot now, MayQueue whether it may wait.
template <typename Policy>
concept ReservePolicy = requires(RequestPriority priority, const AdmissionLoad& load) {
  // Requests with a lower rank leave the queue first.
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

// Orders by priority. A request starts only while the number of busy slots, whatever requests
// occupy them, is below the limit of its priority.
struct ReserveByLimits {
  static std::size_t GetRank(RequestPriority priority) {
    return static_cast<std::size_t>(priority);
  }
  static bool MayStart(RequestPriority priority, const AdmissionLoad& load);
  static bool MayQueue(RequestPriority priority, const AdmissionLoad& load);
};

// Orders by priority and reserves a share of the slots for internal checks. Other requests never
// occupy that share.
struct ReserveShare {
  static std::size_t GetRank(RequestPriority priority) {
    return static_cast<std::size_t>(priority);
  }
  static bool MayStart(RequestPriority priority, const AdmissionLoad& load);
  static bool MayQueue(RequestPriority priority, const AdmissionLoad& load);
  // Returns the number of slots reserved for internal checks; 0 if there is only one slot.
  static std::uint32_t GetReservedSlots(std::uint32_t slots);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_RESERVE_POLICY_H_
