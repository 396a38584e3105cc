#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_WEIGHTED_ROUND_ROBIN_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_WEIGHTED_ROUND_ROBIN_H_

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

// Distributes the requests of each route over its destinations by smooth weighted round-robin.
// Every daemon starts at a random point of the cycle, so that the first requests of many daemons
// do not all go to the same destination. Not thread-safe.
class WeightedRoundRobin {
 public:
  // Returns the position of the destination for the next request. The destinations must not be
  // empty. A route whose weights have changed starts a new cycle.
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
  // Limits the work for a new route. Weights are usually percentages, so their sum is below this.
  static constexpr std::int64_t kMaxWarmUpSteps = 1000;

  // State of one route: the weights of its destinations and their current credits.
  struct Cycle {
    std::vector<std::int64_t> weights;
    std::vector<std::int64_t> credits;
  };

  static std::int64_t SumWeights(std::span<const RouteDestination> destinations);
  static bool HasWeights(const Cycle& cycle, std::span<const RouteDestination> destinations);
  static void Reset(Cycle& cycle, std::span<const RouteDestination> destinations);
  // Performs one step of the round-robin and returns the position of the chosen destination.
  static std::size_t Advance(Cycle& cycle);

  std::unordered_map<std::string, Cycle> cycles;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_WEIGHTED_ROUND_ROBIN_H_
