#ifndef LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Upper limit on the retries that reach one service in a time window, summed over all daemons.
// The limit is ratio * (requests in the window) + slack.
struct RetryBound {
  double ratio = 0.2;       // retries per request for the service
  double slack = 0;         // retries allowed in addition to the ratio
  Duration window{0};       // the limit holds in every time span of this length
  std::size_t daemons = 1;  // number of daemons that share the slack
};

// This daemon's share of a fleet-wide RetryBound for one service. The daemons do not exchange
// their counts. Each applies the ratio to its own requests and takes an equal part of the slack,
// so the sum over all daemons stays within the bound without any message.
//
// Requests and retries are counted in a ring of time slots that covers one window. The class is
// not thread-safe.
class FleetRetryBudget {
 public:
  // Fraction of the bound that is granted. A retried request calls other services again, and
  // those calls count as retries there. Half of the bound leaves capacity for one level of such
  // calls.
  static constexpr double kGrantedFraction = 0.5;

  void SetBound(const RetryBound& new_bound) { this->bound = new_bound; }

  // Must be called once for each request of a caller, not for its retries.
  void RecordRequest(TimePoint now);

  // Counts one retry and returns true, or returns false if this daemon's share is used up.
  bool TryTake(TimePoint now);

 private:
  static constexpr std::size_t kSlotCount = 20;

  // Counts of one time slot. The slots are reused, so `number` tells which slot is stored.
  struct Slot {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t retries = 0;
  };

  std::int64_t GetSlotNumber(TimePoint now) const;
  // Returns the slot with this number, cleared if it held the counts of an older one.
  Slot& GetSlot(std::int64_t number);

  RetryBound bound;
  std::array<Slot, kSlotCount> slots{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
