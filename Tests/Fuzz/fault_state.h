#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <set>
#include <utility>

#include "Core/time_point.h"

namespace lacewingbridge {

// Faults that are currently injected into the simulated networks. Data centres are identified
// by number. The default value stands for a network without faults.
struct FaultState {
  // Pairs of data centres that cannot reach each other, the smaller number first.
  std::set<std::pair<std::size_t, std::size_t>> partitions;
  // Data centres that cannot reach the store.
  std::set<std::size_t> partitioned_from_store;
  // Share of the messages between daemons that the fault hits.
  std::uint32_t dropped_percent = 0;
  std::uint32_t repeated_percent = 0;
  std::uint32_t corrupted_percent = 0;
  // Upper bound of the random delay of a message. Messages with a shorter delay overtake
  // those sent earlier with a longer one.
  Duration longest_delay = std::chrono::milliseconds(10);

  bool IsPartitioned(std::size_t left, std::size_t right) const {
    return this->partitions.contains(std::minmax(left, right));
  }
  // Decides at random whether a fault with this probability occurs.
  bool DrawFault(std::uint32_t percent, std::mt19937_64& random) const {
    return random() % 100 < percent;
  }
  // Returns a random one-way delay of a message, at least 0.5 ms.
  Duration DrawDelay(std::mt19937_64& random) const {
    return Duration(static_cast<std::int64_t>(
               random() % static_cast<std::uint64_t>(this->longest_delay.count()))) +
           std::chrono::microseconds(500);
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FAULT_STATE_H_
