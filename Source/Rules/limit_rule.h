#ifndef LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// A "limit NAME ..." line of the rules: a rate limit for one route or for one service.
struct LimitRule {
  std::string name;
  // Exactly one of route and service is set.
  std::string route;
  std::string service;
  std::uint32_t rate_per_second = 0;
  // Number of requests. Equal to rate_per_second if the line has no "burst" key.
  std::uint32_t burst = 0;
  // Number of the line in the file.
  std::uint32_t line = 0;
  // The comment of the line, "# who: why": the person responsible for the rule, and the reason.
  std::string who;
  std::string why;

  bool operator==(const LimitRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_
