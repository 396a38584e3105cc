#ifndef LACEWINGBRIDGE_SOURCE_STORE_HOSTS_PAUSE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_HOSTS_PAUSE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns the delay between two reads of changed hosts. It is designed for this load: in a fleet of
// n daemons the hosts change n times as often as one host does, and each change is a call from
// every daemon. With a delay that grows with the fleet, the calls of all daemons together grow with
// the fleet and not with its square. Meanwhile refusals of the hosts themselves show what has
// changed.
//
// A daemon that has just started knows only the hosts that were listed before it, as many may have
// started at once, so it reads more often at first.
inline Duration ComputeHostsPause(std::size_t hosts, Duration since_start) {
  constexpr Duration kInitialTime = std::chrono::seconds(10);
  constexpr Duration kInitialPause = std::chrono::milliseconds(1000);
  constexpr Duration kPausePerHost = std::chrono::milliseconds(20);
  constexpr Duration kMinPause = std::chrono::milliseconds(2000);
  // A host that is replaced must be known soon enough to take a share of the work.
  constexpr Duration kMaxPause = std::chrono::milliseconds(4000);
  if (since_start < kInitialTime) {
    return kInitialPause;
  }
  return std::clamp(kPausePerHost * static_cast<Duration::rep>(hosts), kMinPause, kMaxPause);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_HOSTS_PAUSE_H_
