#include "Rules/rules_checker.h"

#include <array>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Rules/rules_draft.h"
#include "Rules/rules_report.h"
#include "Rules/rules_utf8.h"

namespace lacewingbridge {

namespace {

// Maps the name of a rule to the line of the first rule with that name.
using NameTable = std::unordered_map<std::string_view, std::uint32_t>;

// For one path and each method, the line of the first route that lists the method. The element of
// kOther is the line of the first route that accepts all methods. 0 stands for no route.
using PathLines = std::array<std::uint32_t, kHttpMethodCount>;

// Reports names that are defined twice, and returns the lines of all names.
template <typename Rule>
NameTable CheckNames(const std::vector<RulesDraft::Entry<Rule>>& entries, std::string_view kind,
                     RulesReport& report) {
  NameTable names;
  names.reserve(entries.size());
  for (const RulesDraft::Entry<Rule>& entry : entries) {
    const auto [position, added] = names.try_emplace(entry.rule.name, entry.rule.line);
    if (!added) {
      report.AddError(entry.rule.line, entry.name_column,
                      "the " + std::string(kind) + " " + QuoteForMessage(entry.rule.name) +
                          " is already defined in line " + std::to_string(position->second),
                      "give it another name or remove one of the two");
    }
  }
  return names;
}

// Reports a reference to a rule that does not exist. A column of 0 means that the line has no valid
// reference to check.
void CheckReference(const NameTable& names, std::string_view kind, const std::string& name,
                    std::uint32_t line, std::size_t column, RulesReport& report) {
  if (column != 0 && !names.contains(name)) {
    report.AddError(line, column, "there is no " + std::string(kind) + " " + QuoteForMessage(name),
                    "correct the name or add a " + std::string(kind) + " line for it");
  }
}

// Returns the line of an earlier route that conflicts with this route on the same path: both list
// the same method, or both accept all methods. Returns 0 if there is none. Adds the route to
// `lines`.
std::uint32_t FindOverlap(const RouteRule& route, PathLines& lines) {
  std::uint32_t overlap = 0;
  // No route can list kOther, so its element stands for routes that accept all methods.
  const HttpMethodSet other = MakeHttpMethodSet(HttpMethod::kOther);
  const HttpMethodSet places = route.methods == kAllHttpMethods ? other : route.methods;
  for (std::size_t i = 0; i < kHttpMethodCount; ++i) {
    if ((places & MakeHttpMethodSet(static_cast<HttpMethod>(i))) == 0) {
      continue;
    }
    if (lines[i] != 0 && overlap == 0) {
      overlap = lines[i];
    }
    lines[i] = lines[i] != 0 ? lines[i] : route.line;
  }
  return overlap;
}

// Reports each route that accepts the same path and method as an earlier one.
void CheckOverlaps(const std::vector<RulesDraft::Entry<RouteRule>>& routes, RulesReport& report) {
  std::unordered_map<std::string_view, PathLines> paths;
  for (const RulesDraft::Entry<RouteRule>& entry : routes) {
    if (entry.path_column == 0) {
      continue;
    }
    const std::uint32_t overlap = FindOverlap(entry.rule, paths[entry.rule.path]);
    if (overlap != 0) {
      report.AddError(
          entry.rule.line, entry.path_column,
          "the route in line " + std::to_string(overlap) + " accepts the same path and method",
          "change the path or the methods of one of the two");
    }
  }
}

// Reports each workspace that has an API key of an earlier one: the key would identify neither.
void CheckSharedKeys(const std::vector<RulesDraft::Entry<WorkspaceRule>>& workspaces,
                     RulesReport& report) {
  std::unordered_map<std::string_view, const WorkspaceRule*> holders;
  for (const RulesDraft::Entry<WorkspaceRule>& entry : workspaces) {
    for (const std::string& digest : entry.rule.key_digests) {
      const auto [position, added] = holders.try_emplace(digest, &entry.rule);
      const WorkspaceRule& holder = *position->second;
      if (!added && &holder != &entry.rule) {
        report.AddError(entry.rule.line, entry.keys_column,
                        "an API key also belongs to the workspace " + QuoteForMessage(holder.name) +
                            " in line " + std::to_string(holder.line),
                        "remove its digest from one of the two");
        break;
      }
    }
  }
}

}  // namespace

void RulesChecker::CheckDraft(const RulesDraft& draft, RulesReport& report) {
  const NameTable services = CheckNames(draft.services, "service", report);
  const NameTable routes = CheckNames(draft.routes, "route", report);
  CheckNames(draft.limits, "limit", report);
  for (const RulesDraft::Entry<RouteRule>& entry : draft.routes) {
    CheckReference(services, "service", entry.rule.service, entry.rule.line, entry.service_column,
                   report);
  }
  for (const RulesDraft::Entry<LimitRule>& entry : draft.limits) {
    CheckReference(services, "service", entry.rule.service, entry.rule.line, entry.service_column,
                   report);
    CheckReference(routes, "route", entry.rule.route, entry.rule.line, entry.route_column, report);
  }
  CheckNames(draft.workspaces, "workspace", report);
  CheckOverlaps(draft.routes, report);
  CheckSharedKeys(draft.workspaces, report);
}

}  // namespace lacewingbridge
