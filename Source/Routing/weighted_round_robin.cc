#include "Routing/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace lacewingbridge {

std::int64_t WeightedRoundRobin::SumWeights(std::span<const RouteDestination> destinations) {
  return std::accumulate(destinations.begin(), destinations.end(), std::int64_t{0},
                         [](std::int64_t sum, const RouteDestination& destination) {
                           return sum + destination.weight;
                         });
}

bool WeightedRoundRobin::HasWeights(const Cycle& cycle,
                                    std::span<const RouteDestination> destinations) {
  return std::equal(cycle.weights.begin(), cycle.weights.end(), destinations.begin(),
                    destinations.end(),
                    [](std::int64_t weight, const RouteDestination& destination) {
                      return weight == destination.weight;
                    });
}

void WeightedRoundRobin::Reset(Cycle& cycle, std::span<const RouteDestination> destinations) {
  cycle.weights.clear();
  for (const RouteDestination& destination : destinations) {
    cycle.weights.push_back(destination.weight);
  }
  cycle.credits.assign(destinations.size(), 0);
}

std::size_t WeightedRoundRobin::Advance(Cycle& cycle) {
  std::int64_t total = 0;
  for (std::size_t i = 0; i < cycle.weights.size(); ++i) {
    cycle.credits[i] += cycle.weights[i];
    total += cycle.weights[i];
  }
  const auto best = std::max_element(cycle.credits.begin(), cycle.credits.end());
  *best -= total;
  return static_cast<std::size_t>(best - cycle.credits.begin());
}

}  // namespace lacewingbridge
