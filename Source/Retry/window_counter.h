#ifndef LACEWINGBRIDGE_SOURCE_RETRY_WINDOW_COUNTER_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_WINDOW_COUNTER_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Sum of the amounts that were added within the last time window. The amounts are kept in a ring of
// time slots, so the memory does not depend on their number. The sum may include amounts that are
// older than the window by up to one slot, that is, a twentieth of the window. Not thread-safe.
class WindowCounter {
 public:
  void SetWindow(Duration new_window) { this->window = new_window; }
  void Add(TimePoint now, double amount);
  double GetSum(TimePoint now) const;

 private:
  static constexpr std::size_t kSlotsPerWindow = 20;

  // Amount of one time slot. The slots are reused, so `number` tells which slot is stored.
  struct Slot {
    std::int64_t number = -1;
    double amount = 0;
  };

  std::int64_t GetSlotNumber(TimePoint now) const;

  Duration window{0};
  // One more than a window has, because a window may begin within a slot.
  std::array<Slot, kSlotsPerWindow + 1> slots{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_WINDOW_COUNTER_H_
