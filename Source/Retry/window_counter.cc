#include "Retry/window_counter.h"

#include <algorithm>

namespace lacewingbridge {

std::int64_t WindowCounter::GetSlotNumber(TimePoint now) const {
  const Duration width =
      std::max(this->window / static_cast<std::int64_t>(kSlotsPerWindow), Duration{1});
  return now.time_since_epoch() / width;
}

void WindowCounter::Add(TimePoint now, double amount) {
  const std::int64_t number = this->GetSlotNumber(now);
  Slot& slot = this->slots[static_cast<std::size_t>(number) % this->slots.size()];
  if (slot.number != number) {
    slot = {number, 0};
  }
  slot.amount += amount;
}

double WindowCounter::GetSum(TimePoint now) const {
  const std::int64_t newest = this->GetSlotNumber(now);
  double sum = 0;
  for (const Slot& slot : this->slots) {
    const std::int64_t age = newest - slot.number;
    if (slot.number >= 0 && age >= 0 && age <= static_cast<std::int64_t>(kSlotsPerWindow)) {
      sum += slot.amount;
    }
  }
  return sum;
}

}  // namespace lacewingbridge
