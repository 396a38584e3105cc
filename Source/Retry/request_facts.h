#ifndef LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Bounds on the daemons that are asked for room. Each costs a round trip, and its refusal
// tells what to expect of it for a while. After three refusals from the cheapest peers a
// service of a few targets is full; of many targets most are not known to a daemon.
inline constexpr std::uint32_t kLeastRefusedHops = 3;
inline constexpr std::uint32_t kMostRefusedHops = 6;

constexpr std::uint32_t ComputeMaxRefusedHops(std::size_t targets) {
  constexpr std::size_t kTargetsPerHop = 8;
  return static_cast<std::uint32_t>(
      std::clamp<std::size_t>(targets / kTargetsPerHop, kLeastRefusedHops, kMostRefusedHops));
}

// What decides about a request besides the outcomes of its hops.
struct RequestFacts {
  TimePoint arrived_at;
  // When the caller stops waiting.
  TimePoint deadline;
  // When the route's timeout ends the request.
  TimePoint timeout_at;
  TimePoint objective_at;
  std::uint32_t max_attempts = 1;
  // Daemons that are asked for room before the caller is told to return; see
  // ComputeMaxRefusedHops.
  std::uint32_t max_refused_hops = kLeastRefusedHops;
  bool idempotent = false;

  TimePoint GetEnd() const { return this->deadline < this->timeout_at ? deadline : timeout_at; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
