#ifndef LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_

#include <algorithm>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Number of hops that may be refused before the request itself is refused and its caller is asked
// to resend it later. Each refused hop costs a round trip and loads hosts that are already
// overloaded. Daemons are selected at random, so after three refusals it is unlikely that a fourth
// one has capacity.
inline constexpr std::uint32_t kMaxRefusedHops = 3;

// Properties of a request that RequestProgress uses, together with the outcomes of the hops, to
// decide what happens next.
struct RequestFacts {
  TimePoint arrived_at;
  // Time at which the caller stops waiting.
  TimePoint deadline;
  // Time at which the timeout of the route ends the request.
  TimePoint timeout_at;
  // Time by which the response should be sent according to the latency objective of the route.
  TimePoint objective_at;
  // Limit on the number of times that the request is passed to a target.
  std::uint32_t max_attempts = 1;
  bool idempotent = false;

  // Returns the earlier one of the deadline and the timeout.
  TimePoint GetEnd() const { return this->deadline < this->timeout_at ? deadline : timeout_at; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
