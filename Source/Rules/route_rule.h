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

// Order in which waiting requests are admitted, the first priority first.
enum class RoutePriority : std::uint8_t { kInternal, kNormal, kLow };

// A "route NAME ..." line of the rules: which requests go to which service, and how they are
// handled.
struct RouteRule {
  std::string name;
  // Absolute path, without a trailing slash unless it is "/".
  std::string path;
  std::string service;
  // kAllHttpMethods if the line has no "methods" key.
  HttpMethodSet methods = kAllHttpMethods;
  // Whether a request may safely run more than once.
  bool idempotent = false;
  // If the line has no "key" key, kNone for an idempotent route and kOptional for others.
  KeyUse key = KeyUse::kOptional;
  Duration deadline = std::chrono::seconds(1);
  // Attempts allowed after the first one. 0 unless the route is idempotent.
  std::uint32_t retries = 0;
  RoutePriority priority = RoutePriority::kNormal;
  // Whether requests need no API key although the rules have workspaces.
  bool is_public = false;
  // Number of the line in the file.
  std::uint32_t line = 0;
  // The comment of the line, "# who: why": the person responsible for the rule, and the reason.
  std::string who;
  std::string why;

  bool operator==(const RouteRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_ROUTE_RULE_H_
