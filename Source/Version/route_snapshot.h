#ifndef LACEWINGBRIDGE_SOURCE_VERSION_ROUTE_SNAPSHOT_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_ROUTE_SNAPSHOT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "Rules/rules_document.h"
#include "Rules/rules_matcher.h"
#include "Version/snapshot_service.h"
#include "Workspaces/workspace_index.h"
#include "mesh.h"
#include "rules.h"

namespace lacewingbridge {

// The data that a daemon routes requests by: one rules version and the endpoints of the services
// that its routes name. A snapshot is immutable, so that threads can read it without a lock and
// a new one replaces it as a whole.
class RouteSnapshot {
 public:
  // A route and its service. Both references are valid as long as the snapshot exists.
  struct Match {
    const RouteRule& route;
    const SnapshotService& service;
  };

  // Neither copied nor moved, because the matcher and the index of workspaces refer to members.
  RouteSnapshot(const RouteSnapshot&) = delete;
  RouteSnapshot& operator=(const RouteSnapshot&) = delete;

  const VersionStamp& GetVersion() const { return this->version; }
  const RulesDocument& GetDocument() const { return *this->document; }
  const WorkspaceIndex& GetWorkspaces() const { return this->workspace_index; }

  // Ordered by name.
  std::span<const SnapshotService> GetServices() const { return this->services; }

  // Returns nullptr if no route names the service.
  const SnapshotService* FindService(std::string_view name) const;

  // Returns the route that RulesMatcher::FindRoute selects, and its service. Does not allocate
  // memory.
  std::optional<Match> FindRoute(std::string_view method, std::string_view path) const;

 private:
  friend class SnapshotBuilder;

  RouteSnapshot(VersionStamp stamp, std::shared_ptr<const RulesDocument> shared_document,
                std::vector<SnapshotService> named_services);

  VersionStamp version;
  std::shared_ptr<const RulesDocument> document;
  RulesMatcher matcher;
  std::vector<MeshWorkspace> workspaces;
  WorkspaceIndex workspace_index;
  std::vector<SnapshotService> services;
  // For each route of the document, the index of its service in `services`.
  std::vector<std::size_t> route_services;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_ROUTE_SNAPSHOT_H_
