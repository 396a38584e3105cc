#ifndef LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_

#include <cstdint>
#include <optional>
#include <string>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

// A target with its faults.
struct RequestTarget {
  std::string address;
  std::uint64_t incarnation = 1;
  bool alive = true;
  // Refuses requests as not run.
  bool shedding = false;
  // Reports the opposite of its load.
  bool lying = false;
  std::uint32_t in_flight = 0;
  std::optional<TimePoint> draining_since;
  Duration latency = std::chrono::milliseconds(20);

  TargetEndpoint MakeEndpoint(std::size_t index) const {
    const std::string site = std::to_string(index % 2);
    const std::uint32_t load = this->in_flight > 2 ? 900 : 100;
    return {this->address,
            "target-host-" + std::to_string(index),
            "dc-" + site,
            "region-" + site,
            4,
            this->draining_since.has_value(),
            this->lying ? 1000 - load : load};
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_TARGET_H_
