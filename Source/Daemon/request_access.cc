#include "Daemon/request_access.h"

#include <fmt/format.h>
#include <httplib.h>

#include <algorithm>

#include "Core/digest.h"
#include "Rules/rules_document.h"
#include "Version/route_snapshot.h"
#include "Workspaces/bearer_key.h"
#include "Workspaces/workspace_index.h"

namespace lacewingbridge {

namespace {

// Empty unless the request has exactly one Authorization header, with one key.
std::string ReadApiKey(const httplib::Request& request) {
  if (request.get_header_value_count(kApiKeyHeader) != 1) {
    return {};
  }
  return std::string(ReadBearerKey(request.get_header_value(kApiKeyHeader)));
}

}  // namespace

CheckedAccess CheckAccess(const RouteSnapshot& snapshot, const RouteRule& route,
                          const httplib::Request& request, bool is_newest) {
  const WorkspaceIndex& workspaces = snapshot.GetWorkspaces();
  if (!workspaces.HasWorkspaces()) {
    return {};
  }
  CheckedAccess checked;
  checked.access.version = snapshot.GetVersion();
  checked.access.has_workspaces = true;
  // There is no bound on removed keys, so a known key needs no proof.
  VersionCertainty certainty;
  certainty.is_proven = true;
  if (is_newest) {
    certainty.proof_age = Duration{0};
  }
  HostRoute asked;
  asked.is_public = route.is_public;
  const std::string api_key = ReadApiKey(request);
  const AccessDecision decision = DecideAccess(workspaces, asked, api_key, certainty);
  checked.verdict = decision.verdict;
  if (decision.workspace != nullptr) {
    checked.access.workspace = decision.workspace->name;
    checked.access.key_digest = ComputeDigest(api_key);
  }
  return checked;
}

AccessExplanation ExplainAccess(const RulesDocument& document, const RouteRule& route,
                                std::string_view workspace) {
  if (document.workspaces.empty()) {
    return {AccessVerdict::kAllowed, "the rules have no workspaces, so requests need no API key"};
  }
  if (route.is_public) {
    return {AccessVerdict::kAllowed,
            fmt::format("the route in line {} is public, so requests need no API key", route.line)};
  }
  if (workspace.empty()) {
    return {AccessVerdict::kNoKey,
            fmt::format("the route in line {} is not public, so requests need an API key of one of "
                        "the {} workspaces",
                        route.line, document.workspaces.size())};
  }
  const auto found =
      std::find_if(document.workspaces.begin(), document.workspaces.end(),
                   [workspace](const WorkspaceRule& rule) { return rule.name == workspace; });
  if (found == document.workspaces.end()) {
    return {AccessVerdict::kUnknownKey,
            fmt::format("there is no workspace {}, so its API keys are not known", workspace)};
  }
  return {AccessVerdict::kAllowed, fmt::format("the workspace {} in line {} has {} API keys",
                                               workspace, found->line, found->key_digests.size())};
}

bool IsAccessCurrent(const RouteSnapshot& current, const RequestAccess& access) {
  if (access.workspace.empty() || current.GetVersion() == access.version) {
    return true;
  }
  const MeshWorkspace* holder = current.GetWorkspaces().FindByKey(access.key_digest);
  return holder != nullptr && holder->name == access.workspace;
}

}  // namespace lacewingbridge
