#ifndef LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// "limit NAME ...": a rate limit for one route or for one service.
struct LimitRule {
  std::string name;
  // Exactly one of route and service is set.
  std::string route;
  std::string service;
  std::uint32_t rate_per_second = 0;
  // Equal to the rate if the rule states none.
  std::uint32_t burst = 0;
  std::uint32_t line = 0;
  std::string who;
  std::string why;

  bool operator==(const LimitRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_LIMIT_RULE_H_
