#include "Version/route_snapshot.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

#include "Core/digest.h"

namespace lacewingbridge {

namespace {

auto FindByName(const std::vector<SnapshotService>& services, std::string_view name) {
  return std::lower_bound(
      services.begin(), services.end(), name,
      [](const SnapshotService& service, std::string_view key) { return service.rule.name < key; });
}

// Leaves out digests that are no digests of API keys. Only a document that did not come from the
// parser has any.
std::vector<MeshWorkspace> MakeWorkspaces(const RulesDocument& document) {
  std::vector<MeshWorkspace> workspaces;
  workspaces.reserve(document.workspaces.size());
  for (const WorkspaceRule& rule : document.workspaces) {
    MeshWorkspace& workspace = workspaces.emplace_back();
    workspace.name = rule.name;
    std::copy_if(rule.key_digests.begin(), rule.key_digests.end(),
                 std::back_inserter(workspace.key_digests),
                 [](const std::string& digest) { return digest.size() == kDigestBytes; });
  }
  return workspaces;
}

}  // namespace

RouteSnapshot::RouteSnapshot(VersionStamp stamp,
                             std::shared_ptr<const RulesDocument> shared_document,
                             std::vector<SnapshotService> named_services)
    : version(std::move(stamp)),
      document(std::move(shared_document)),
      matcher(RulesMatcher::Create(*this->document)),
      workspaces(MakeWorkspaces(*this->document)),
      workspace_index(GetValue(WorkspaceIndex::Create(this->workspaces))),
      services(std::move(named_services)) {
  this->route_services.reserve(this->document->routes.size());
  for (const RouteRule& route : this->document->routes) {
    const auto position = FindByName(this->services, route.service);
    this->route_services.push_back(static_cast<std::size_t>(position - this->services.begin()));
  }
}

const SnapshotService* RouteSnapshot::FindService(std::string_view name) const {
  const auto position = FindByName(this->services, name);
  return position != this->services.end() && position->rule.name == name ? &*position : nullptr;
}

std::optional<RouteSnapshot::Match> RouteSnapshot::FindRoute(std::string_view method,
                                                             std::string_view path) const {
  const RouteRule* const route = this->matcher.FindRoute(method, path);
  if (route == nullptr) {
    return std::nullopt;
  }
  const auto index = static_cast<std::size_t>(route - this->document->routes.data());
  return Match{*route, this->services[this->route_services[index]]};
}

}  // namespace lacewingbridge
