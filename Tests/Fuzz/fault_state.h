#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <utility>

#include "Core/time_point.h"

namespace lacewingbridge {

// What is wrong with the networks of a test at the moment. Data centres are numbers.
struct FaultState {
  // Cut pairs of data centres, the smaller number first.
  std::set<std::pair<std::size_t, std::size_t>> cut;
  std::set<std::size_t> cut_from_store;
  // Of 100 messages between daemons.
  std::uint32_t dropped_percent = 0;
  std::uint32_t repeated_percent = 0;
  std::uint32_t corrupted_percent = 0;
  // Longest delay of a message; shorter ones overtake it.
  Duration longest_delay = std::chrono::milliseconds(10);

  bool IsCut(std::size_t left, std::size_t right) const {
    return this->cut.contains(std::minmax(left, right));
  }
  bool Draws(std::uint32_t percent, std::mt19937_64& random) const {
    return random() % 100 < percent;
  }
  Duration DrawDelay(std::mt19937_64& random) const {
    return Duration(static_cast<std::int64_t>(
               random() % static_cast<std::uint64_t>(this->longest_delay.count()))) +
           std::chrono::microseconds(500);
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_
