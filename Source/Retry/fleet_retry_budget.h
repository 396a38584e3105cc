#ifndef LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Bound on the repeated arrivals at one service, over all daemons together.
struct RetryBound {
  double ratio = 0.2;       // of the requests for the service
  double slack = 0;         // arrivals in addition to the ratio
  Duration window{0};       // any span of this length counts
  std::size_t daemons = 1;  // that share the slack
};

// This daemon's share of a fleet-wide retry bound for one service. No daemon knows the
// others' counts: each uses the ratio for its own requests and its part of the slack, so
// the sum over all daemons keeps the bound without any message.
class FleetRetryBudget {
 public:
  // Part of the bound that is used. A repeated run repeats its calls to other services,
  // which count there as repeats too; half leaves room for one level of such calls.
  static constexpr double kUsedPart = 0.5;

  void SetBound(const RetryBound& new_bound) { this->bound = new_bound; }

  // To be called once for each request of a caller.
  void RecordRequest(TimePoint now);

  // Takes one repeated arrival; false if the share is used up.
  bool TryTake(TimePoint now);

 private:
  static constexpr std::size_t kSlotCount = 20;

  struct Slot {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  std::int64_t GetSlotNumber(TimePoint now) const;
  Slot& GetSlot(std::int64_t number);

  RetryBound bound;
  std::array<Slot, kSlotCount> slots{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
