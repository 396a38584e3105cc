#include "Retry/fleet_retry_budget.h"

#include <algorithm>

namespace lacewingbridge {

std::int64_t FleetRetryBudget::GetSlotNumber(TimePoint now) const {
  const Duration width =
      std::max(this->bound.window / static_cast<std::int64_t>(kSlotCount), Duration{1});
  return now.time_since_epoch() / width;
}

FleetRetryBudget::Slot& FleetRetryBudget::GetSlot(std::int64_t number) {
  Slot& slot = this->slots[static_cast<std::size_t>(number) % kSlotCount];
  if (slot.number != number) {
    slot = {number, 0, 0};
  }
  return slot;
}

void FleetRetryBudget::RecordRequest(TimePoint now) {
  ++this->GetSlot(this->GetSlotNumber(now)).requests;
}

bool FleetRetryBudget::TryTake(TimePoint now) {
  const std::int64_t newest = this->GetSlotNumber(now);
  double requests = 0;
  double retries = 0;
  for (const Slot& slot : this->slots) {
    if (slot.number > newest - static_cast<std::int64_t>(kSlotCount) && slot.number <= newest) {
      requests += slot.requests;
      retries += slot.retries;
    }
  }
  const double share =
      this->bound.slack / static_cast<double>(std::max<std::size_t>(this->bound.daemons, 1));
  if (retries + 1 > kGrantedFraction * (this->bound.ratio * requests + share)) {
    return false;
  }
  ++this->GetSlot(newest).retries;
  return true;
}

}  // namespace lacewingbridge
