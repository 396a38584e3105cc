#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Core/result.h"
#include "mesh.h"

namespace lacewingbridge {

// One version of the routes, prepared for look-ups by host and longest path prefix. A
// version is taken over as a whole or rejected as a whole.
class RouteIndex {
 public:
  // Rejects a table with a route that names no known service, a prefix without its
  // slashes, two routes for the same host and prefix, or no weight at all.
  static Result<RouteIndex> Create(RouteTable new_table);

  // The host may carry a port and the path a query. Null when no route matches.
  const HostRoute* Find(std::string_view host, std::string_view path) const;

  // Null for an unknown service.
  const MeshService* FindService(std::string_view name) const;

  const RouteTable& GetTable() const { return this->table; }

 private:
  struct StringHash {
    // The standard prescribes this name for heterogeneous look-ups.
    using is_transparent = void;  // NOLINT(readability-identifier-naming)
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>()(text);
    }
  };

  explicit RouteIndex(RouteTable new_table) : table(std::move(new_table)) {}
  Status AddRoute(std::size_t position);

  RouteTable table;
  // Host directly followed by the prefix; a host contains no slash, so keys are unique.
  std::unordered_map<std::string, std::size_t, StringHash, std::equal_to<>> positions;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_ROUTE_INDEX_H_
