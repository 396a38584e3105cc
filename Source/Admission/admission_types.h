#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_TYPES_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_TYPES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace lacewingbridge {

// Identifies a request within one queue. The caller assigns it; it is unique among the requests
// that run or wait.
using RequestId = std::uint64_t;

// Priority of a request, which its route determines; the most urgent one comes first.
enum class RequestPriority { kInternal = 0, kNormal = 1, kLow = 2 };
inline constexpr std::size_t kPriorityCount = 3;

// Decision of an admission queue on a request.
enum class AdmissionVerdict {
  kAdmitted,
  kQueued,
  kRefusedQueueFull,
  kRefusedDeadline,  // the deadline has passed or cannot be met
  kRefusedLowPriority,
  kRefusedSlowMoment,   // the target's machine is slow at this moment
  kRefusedNoSlots,      // no target accepts work
  kRefusedBeyondShare,  // its workspace is beyond its fair share; others have a place
};

// Requests that have left the queue because of a call. The caller has to start the admitted ones
// and to turn away the refused ones, which have not run.
struct AdmissionRelease {
  std::vector<RequestId> admitted;
  std::vector<RequestId> refused;
};

// Slots, limits and counts of a queue, which a reserve policy decides on. The arrays are indexed by
// priority.
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
