#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_TYPES_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lacewingbridge {

// Chosen by the caller of the queue, unique among the requests it holds.
using RequestId = std::uint64_t;

enum class RequestPriority { kInternal = 0, kNormal = 1, kLow = 2 };
inline constexpr std::size_t kPriorityCount = 3;

enum class AdmissionVerdict {
  kAdmitted,
  kQueued,
  kRefusedQueueFull,
  kRefusedDeadline,  // the deadline cannot be met
  kRefusedLowPriority,
  kRefusedNoSlots,  // no target may receive work
};

// Requests that a change has moved out of the queue. Each refused one did not run.
struct AdmissionRelease {
  std::vector<RequestId> admitted;
  std::vector<RequestId> refused;
};

// What a reserve policy decides on.
struct AdmissionLoad {
  std::uint32_t slots = 0;
  std::uint32_t queue_limit = 0;
  std::array<std::uint32_t, kPriorityCount> running{};
  std::array<std::uint32_t, kPriorityCount> queued{};

  std::uint32_t CountRunning() const {
    return this->running[0] + this->running[1] + this->running[2];
  }
  std::uint32_t CountQueued() const { return this->queued[0] + this->queued[1] + this->queued[2]; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_TYPES_H_
