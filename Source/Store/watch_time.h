#ifndef LACEWINGBRIDGE_SOURCE_STORE_WATCH_TIME_H_
#define LACEWINGBRIDGE_SOURCE_STORE_WATCH_TIME_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns the duration of a watch call. It is designed for this load: the responses to the watches
// of all daemons are lost in the same moment, so that no daemon can tell another about the change.
// In a large fleet a lease renewal of some daemon falls into the moment, fails, and makes that
// daemon read the store again. In a small fleet it may not, so watches are shorter there and end at
// different times. The calls of all daemons together do not grow with the fleet. Before the list of
// hosts has been read, `hosts` is 0 and the watch short, because the fleet may be small.
inline Duration ComputeWatchTime(std::size_t hosts, std::mt19937_64& random) {
  // The store allows 30 s at most.
  constexpr Duration kMaxTime = std::chrono::seconds(29);
  constexpr Duration kMinTime = std::chrono::seconds(2);
  constexpr Duration kTimePerHost = std::chrono::seconds(3);
  const Duration limit = kTimePerHost * static_cast<Duration::rep>(std::max<std::size_t>(hosts, 1));
  if (limit >= kMaxTime) {
    return kMaxTime;
  }
  std::uniform_int_distribution<Duration::rep> pick(kMinTime.count(), limit.count());
  return Duration(pick(random));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_WATCH_TIME_H_
