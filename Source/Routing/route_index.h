#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Core/result.h"
#include "Workspaces/workspace_index.h"
#include "mesh.h"

namespace lacewingbridge {

// Index of one version of the route table, for look-ups by host and longest path prefix. A version
// is either accepted as a whole or rejected as a whole. Immutable once created.
class RouteIndex {
 public:
  // Returns an error for a table in which a route names an unknown service, a path prefix does not
  // begin and end with a slash, two routes have the same host and prefix, or the weights of a route
  // are all zero, or the digest of an API key has the wrong size.
  static Result<RouteIndex> Create(RouteTable new_table);

  // Returns the route with the longest matching prefix; null if no route matches. The host may
  // contain a port and the path a query; both are ignored. Hosts are compared without case.
  const HostRoute* Find(std::string_view host, std::string_view path) const;

  // Returns null for an unknown service.
  const MeshService* FindService(std::string_view name) const;

  const RouteTable& GetTable() const { return this->table; }
  const WorkspaceIndex& GetWorkspaces() const { return this->workspaces; }

  // The workspaces refer to the table, and stay valid when it is moved.
  RouteIndex(RouteIndex&&) = default;
  RouteIndex(const RouteIndex&) = delete;
  RouteIndex& operator=(const RouteIndex&) = delete;

 private:
  struct StringHash {
    // The standard library requires this name for look-ups with other key types.
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  RouteIndex(RouteTable new_table, WorkspaceIndex workspace_index)
      : table(std::move(new_table)), workspaces(std::move(workspace_index)) {}
  Status AddRoute(std::size_t position);

  RouteTable table;
  WorkspaceIndex workspaces;
  // Positions of the routes in the table. The key is the host followed by the path prefix; it is
  // unambiguous because a host contains no slash.
  std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>> positions;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_
