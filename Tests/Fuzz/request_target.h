#ifndef LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

// A simulated target process and the faults that are injected into it.
struct RequestTarget {
  std::string address;
  std::uint64_t incarnation = 1;
  bool alive = true;
  // Refuses all requests as not run.
  bool shedding = false;
  // Reports a low load when it is high and a high load when it is low.
  bool reports_false_load = false;
  std::uint32_t in_flight = 0;
  std::optional<TimePoint> draining_since;
  Duration latency = std::chrono::milliseconds(20);

  // Targets with an even index are in dc-0, the others in dc-1. Reports 4 slots.
  TargetEndpoint MakeEndpoint(std::size_t index) const {
    const std::string site = std::to_string(index % 2);
    const std::uint32_t load = this->in_flight > 2 ? 900 : 100;
    return {this->address,
            "target-host-" + std::to_string(index),
            "dc-" + site,
            "region-" + site,
            4,
            this->draining_since.has_value(),
            this->reports_false_load ? 1000 - load : load};
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_
