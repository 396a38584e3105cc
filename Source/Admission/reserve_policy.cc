#include "Admission/reserve_policy.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

// ReserveByLimits: percentage of busy slots at which requests of the priority no longer start.
constexpr std::uint32_t kNormalLimitPercent = 90;
constexpr std::uint32_t kLowLimitPercent = 70;
// ReserveShare: percentage of the slots that is reserved for internal checks.
constexpr std::uint32_t kReservedPercent = 10;

// One eighth of the queue is reserved for internal checks.
constexpr std::uint32_t kInternalQueueDivisor = 8;
// Low-priority requests are refused when half of the queue is occupied.
constexpr std::uint32_t kLowQueueDivisor = 2;

// Returns the percentage of the slots, rounded down, but at least one slot if there is any.
std::uint32_t GetSlotLimit(std::uint32_t slots, std::uint32_t percent) {
  return std::max(slots * percent / 100, std::min(slots, 1U));
}

bool HasQueueCapacity(RequestPriority priority, const AdmissionLoad& load) {
  switch (priority) {
    case RequestPriority::kInternal:
      return load.CountQueued() < load.queue_limit;
    case RequestPriority::kNormal:
      return load.CountQueued() < load.queue_limit - load.queue_limit / kInternalQueueDivisor;
    case RequestPriority::kLow:
      return load.CountQueued() < load.queue_limit / kLowQueueDivisor;
  }
  return false;
}

}  // namespace

bool ReserveNone::MayStart(RequestPriority /*priority*/, const AdmissionLoad& load) {
  return load.CountRunning() < load.slots;
}

bool ReserveNone::MayQueue(RequestPriority /*priority*/, const AdmissionLoad& load) {
  return load.CountQueued() < load.queue_limit;
}

bool ReserveByLimits::MayStart(RequestPriority priority, const AdmissionLoad& load) {
  switch (priority) {
    case RequestPriority::kInternal:
      return load.CountRunning() < load.slots;
    case RequestPriority::kNormal:
      return load.CountRunning() < GetSlotLimit(load.slots, kNormalLimitPercent);
    case RequestPriority::kLow:
      return load.CountRunning() < GetSlotLimit(load.slots, kLowLimitPercent);
  }
  return false;
}

bool ReserveByLimits::MayQueue(RequestPriority priority, const AdmissionLoad& load) {
  return HasQueueCapacity(priority, load);
}

std::uint32_t ReserveShare::GetReservedSlots(std::uint32_t slots) {
  if (slots <= 1) {
    return 0;
  }
  // The share is rounded up, so that small services reserve a slot as well.
  return (slots * kReservedPercent + 99) / 100;
}

bool ReserveShare::MayStart(RequestPriority priority, const AdmissionLoad& load) {
  if (load.CountRunning() >= load.slots) {
    return false;
  }
  if (priority == RequestPriority::kInternal) {
    return true;
  }
  const auto internal = static_cast<std::size_t>(RequestPriority::kInternal);
  const std::uint32_t others = load.CountRunning() - load.running[internal];
  return others < load.slots - GetReservedSlots(load.slots);
}

bool ReserveShare::MayQueue(RequestPriority priority, const AdmissionLoad& load) {
  return HasQueueCapacity(priority, load);
}

}  // namespace lacewingbridge
