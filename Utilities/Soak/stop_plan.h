#ifndef LACEWINGBRIDGE_SOAK_STOP_PLAN_H_
#define LACEWINGBRIDGE_SOAK_STOP_PLAN_H_

#include <chrono>
#include <cstdint>
#include <vector>

namespace lacewingbridge::soak {

enum class PlannedKind { kStop, kReload, kConfiguration };

// Planned work of an operator.
struct PlannedEvent {
  std::chrono::milliseconds at{0};
  PlannedKind kind = PlannedKind::kStop;
  // The daemons that get a signal; none for a configuration.
  std::vector<std::size_t> daemons;
  // Time between the end of a stopped daemon and its next start.
  std::chrono::milliseconds down{0};
};

// The events of a run, in the order of their times. The seed determines them.
std::vector<PlannedEvent> DrawStopPlan(std::uint64_t seed, std::chrono::milliseconds duration,
                                       std::size_t daemons);

}  // namespace lacewingbridge::soak

#endif  // LACEWINGBRIDGE_SOAK_STOP_PLAN_H_
