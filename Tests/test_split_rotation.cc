// Guards against a traffic split that deviates from its weights, and against daemons that all start
// with the same destination.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <random>
#include <set>
#include <string>
#include <vector>

#include "Routing/weighted_round_robin.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

Test(split_rotation, gives_each_destination_its_weight_in_every_cycle) {
  cr_assert(rc::check([] {
    const auto weights = *rc::gen::nonEmpty(
        rc::gen::container<std::vector<std::uint32_t>>(rc::gen::inRange<std::uint32_t>(1, 40)));
    std::vector<RouteDestination> destinations;
    std::uint32_t total = 0;
    for (const std::uint32_t weight : weights) {
      destinations.push_back({std::to_string(destinations.size()), weight});
      total += weight;
    }
    std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
    WeightedRoundRobin rotation;
    std::vector<std::uint32_t> counts(weights.size(), 0);
    for (std::uint32_t i = 0; i < total; ++i) {
      ++counts[rotation.Pick("route", destinations, random)];
    }
    RC_ASSERT(counts == weights);
  }));
}

Test(split_rotation, starts_at_a_random_point_and_applies_new_weights) {
  const std::vector<RouteDestination> even = {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
  std::set<std::size_t> first;
  for (std::uint64_t seed = 0; seed < 40; ++seed) {
    std::mt19937_64 random(seed);
    first.insert(WeightedRoundRobin().Pick("route", even, random));
  }
  cr_assert_eq(first.size(), 4);
  std::mt19937_64 random(1);
  WeightedRoundRobin rotation;
  rotation.Pick("route", even, random);
  const std::vector<RouteDestination> moved = {{"a", 0}, {"b", 5}};
  for (int i = 0; i < 10; ++i) {
    cr_assert_eq(rotation.Pick("route", moved, random), 1);
  }
}
