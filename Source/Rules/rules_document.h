#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DOCUMENT_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DOCUMENT_H_

#include <string>
#include <vector>

#include "Rules/limit_rule.h"
#include "Rules/route_rule.h"
#include "Rules/service_rule.h"
#include "Rules/workspace_rule.h"

namespace lacewingbridge {

// The rules of one valid rules file. The rules of each kind are in the order of their lines.
struct RulesDocument {
  std::string file_name;
  std::vector<ServiceRule> services;
  std::vector<RouteRule> routes;
  std::vector<LimitRule> limits;
  // If there are none, no request needs an API key.
  std::vector<WorkspaceRule> workspaces;

  bool operator==(const RulesDocument&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DOCUMENT_H_
