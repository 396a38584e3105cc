#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "Rules/limit_rule.h"
#include "Rules/route_rule.h"
#include "Rules/service_rule.h"

namespace lacewingbridge {

// Rules as read line by line, before the references between them are checked.
struct RulesDraft {
  // A rule and the columns of its parts; 0 for a part that is absent or was reported.
  template <typename Rule>
  struct Entry {
    Rule rule;
    std::size_t name_column = 0;
    std::size_t path_column = 0;
    std::size_t service_column = 0;
    std::size_t route_column = 0;
  };

  std::vector<Entry<ServiceRule>> services;
  std::vector<Entry<RouteRule>> routes;
  std::vector<Entry<LimitRule>> limits;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DRAFT_H_
