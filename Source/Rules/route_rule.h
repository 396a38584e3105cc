#ifndef LACEWINGBRIDGE_SOURCE_RULES_ROUTE_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_ROUTE_RULE_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "Core/time_point.h"
#include "Rules/http_method.h"

namespace lacewingbridge {

// Whether requests of a route carry an Idempotency-Key.
enum class KeyUse : std::uint8_t { kNone, kOptional, kRequired };

// Order in which waiting requests are admitted.
enum class RoutePriority : std::uint8_t { kInternal, kNormal, kLow };

// "route NAME ...": which requests go to which service, and how.
struct RouteRule {
  std::string name;
  // Absolute, without a trailing slash unless it is "/".
  std::string path;
  std::string service;
  // kAllHttpMethods if the rule names no method.
  HttpMethodSet methods = kAllHttpMethods;
  bool idempotent = false;
  // A route that states no key use gets kNone if it is idempotent, otherwise kOptional.
  KeyUse key = KeyUse::kOptional;
  Duration deadline = std::chrono::seconds(1);
  std::uint32_t retries = 0;
  RoutePriority priority = RoutePriority::kNormal;
  std::uint32_t line = 0;
  std::string who;
  std::string why;

  bool operator==(const RouteRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_ROUTE_RULE_H_
