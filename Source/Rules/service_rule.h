#ifndef LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_

#include <cstdint>
#include <string>

#include "Core/time_point.h"

namespace lacewingbridge {

// A "service NAME ..." line of the rules: a service and the limits of each of its targets.
struct ServiceRule {
  std::string name;
  // Requests that a target runs at the same time. 0 if the line has no "slots" key; then only the
  // limit in the announcement of the target applies.
  std::uint32_t slots = 0;
  // Connections to a target. 0 if the line has no "connections" key.
  std::uint32_t connections = 0;
  // Requests that wait for a target.
  std::uint32_t queue = 64;
  // Time that a target needs after its start until it has its full capacity.
  Duration cold_start{0};
  // Number of the line in the file.
  std::uint32_t line = 0;
  // The comment of the line, "# who: why": the person responsible for the rule, and the reason.
  std::string who;
  std::string why;

  bool operator==(const ServiceRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_SERVICE_RULE_H_
