#include "stop_plan.h"

#include <random>

namespace lacewingbridge::soak {

std::vector<PlannedEvent> DrawStopPlan(std::uint64_t seed, std::chrono::milliseconds duration,
                                       std::size_t daemons) {
  using Milliseconds = std::chrono::milliseconds;
  std::mt19937_64 random(seed);
  const auto draw = [&](int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random);
  };
  std::vector<PlannedEvent> plan;
  Milliseconds at{500};
  while (at < duration) {
    PlannedEvent event;
    event.at = at;
    const int kind = draw(0, 99);
    const auto first = static_cast<std::size_t>(draw(0, static_cast<int>(daemons) - 1));
    const auto step = static_cast<std::size_t>(draw(1, static_cast<int>(daemons) - 1));
    event.down = Milliseconds(draw(50, 1500));
    if (kind < 40) {
      event.daemons = {first};
      if (kind < 25) {
        event.daemons.push_back((first + step) % daemons);
      }
    } else if (kind < 70) {
      event.kind = PlannedKind::kReload;
      event.daemons = {first};
    } else {
      event.kind = PlannedKind::kConfiguration;
    }
    plan.push_back(event);
    at += Milliseconds(draw(50, 2000));
  }
  return plan;
}

}  // namespace lacewingbridge::soak
