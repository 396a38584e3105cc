#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Rules/limit_rule.h"
#include "Rules/route_rule.h"
#include "Rules/service_rule.h"
#include "Rules/workspace_rule.h"

namespace lacewingbridge {

// The rules of a file that is still being checked: each line was read on its own, and the
// references between rules are not checked yet.
struct RulesDraft {
  // A rule and the columns of its parts, for error messages. A column is 0 if the part is missing
  // or an error in it was already reported.
  template <typename Rule>
  struct Entry {
    Rule rule;
    std::size_t name_column = 0;
    std::size_t path_column = 0;
    std::size_t service_column = 0;
    std::size_t route_column = 0;
    std::size_t keys_column = 0;
  };

  std::vector<Entry<ServiceRule>> services;
  std::vector<Entry<RouteRule>> routes;
  std::vector<Entry<LimitRule>> limits;
  std::vector<Entry<WorkspaceRule>> workspaces;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_
