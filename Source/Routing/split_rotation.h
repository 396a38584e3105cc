#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_SPLIT_ROTATION_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_SPLIT_ROTATION_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "mesh.h"

namespace lacewingbridge {

// Distributes the requests of a route over its destinations by smooth weighted
// round-robin. Each daemon begins at a random point of the cycle, so that the first
// requests of many daemons do not all go to the same destination.
class SplitRotation {
 public:
  // Position of the destination for the next request; destinations must not be empty.
  template <std::uniform_random_bit_generator Random>
  std::size_t Pick(std::string_view route, std::span<const RouteDestination> destinations,
                   Random& random) {
    if (destinations.size() == 1) {
      return 0;
    }
    Cycle& cycle = this->cycles[std::string(route)];
    if (!HasWeights(cycle, destinations)) {
      Reset(cycle, destinations);
      const std::int64_t total = SumWeights(destinations);
      const std::int64_t steps = std::uniform_int_distribution<std::int64_t>(0, total - 1)(random);
      for (std::int64_t step = 0; step < steps % kMaxWarmUpSteps; ++step) {
        Advance(cycle);
      }
    }
    return Advance(cycle);
  }

 private:
  // Bounds the work for a new route; weights are percentages as a rule.
  static constexpr std::int64_t kMaxWarmUpSteps = 1000;

  struct Cycle {
    std::vector<std::int64_t> weights;
    std::vector<std::int64_t> credits;
  };

  static std::int64_t SumWeights(std::span<const RouteDestination> destinations);
  static bool HasWeights(const Cycle& cycle, std::span<const RouteDestination> destinations);
  static void Reset(Cycle& cycle, std::span<const RouteDestination> destinations);
  static std::size_t Advance(Cycle& cycle);

  std::unordered_map<std::string, Cycle> cycles;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_SPLIT_ROTATION_H_
