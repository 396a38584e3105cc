#ifndef LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// What decides about a request besides the outcomes of its hops.
struct RequestFacts {
  TimePoint arrived_at;
  // When the caller stops waiting.
  TimePoint deadline;
  // When the route's timeout ends the request.
  TimePoint timeout_at;
  TimePoint objective_at;
  std::uint32_t max_attempts = 1;
  bool idempotent = false;

  TimePoint GetEnd() const { return this->deadline < this->timeout_at ? deadline : timeout_at; }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_FACTS_H_
