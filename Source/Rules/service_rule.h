#ifndef LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_

#include <cstdint>
#include <string>

#include "Core/time_point.h"

namespace lacewingbridge {

// "service NAME ...": a service and the limits of each of its targets.
struct ServiceRule {
  std::string name;
  // 0 if the rule states none; the target's announcement then applies alone.
  std::uint32_t slots = 0;
  // 0 if the rule states none.
  std::uint32_t connections = 0;
  std::uint32_t queue = 64;
  Duration cold_start{0};
  std::uint32_t line = 0;
  std::string who;
  std::string why;

  bool operator==(const ServiceRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_
