#include "Routing/route_index.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace lacewingbridge {

namespace {

std::string MakeKey(std::string_view host, std::string_view path) {
  std::string key;
  key.reserve(host.size() + path.size());
  for (const char character : host) {
    key.push_back(static_cast<char>(std::tolower(static_cast<unsigned char>(character))));
  }
  key += path;
  return key;
}

Error MakeTableError(const HostRoute& route, std::string_view reason) {
  return {ErrorKind::kRulesInvalid,
          "route \"" + route.name + "\" of host \"" + route.host + "\": " + std::string(reason)};
}

}  // namespace

Result<RouteIndex> RouteIndex::Create(RouteTable new_table) {
  Result<WorkspaceIndex> workspaces = WorkspaceIndex::Create(new_table.workspaces);
  if (!IsOk(workspaces)) {
    return GetError(workspaces);
  }
  RouteIndex index(std::move(new_table), std::move(GetValue(workspaces)));
  for (std::size_t i = 0; i < index.table.routes.size(); ++i) {
    const Status added = index.AddRoute(i);
    if (!IsOk(added)) {
      return GetError(added);
    }
  }
  return index;
}

Status RouteIndex::AddRoute(std::size_t position) {
  const HostRoute& route = this->table.routes[position];
  if (route.path_prefix.empty() || route.path_prefix.front() != '/' ||
      route.path_prefix.back() != '/') {
    return MakeTableError(route, "the path prefix has to begin and end with a slash");
  }
  std::uint64_t total_weight = 0;
  for (const RouteDestination& destination : route.destinations) {
    if (this->FindService(destination.service) == nullptr) {
      return MakeTableError(route, "service \"" + destination.service + "\" is not defined");
    }
    total_weight += destination.weight;
  }
  if (total_weight == 0) {
    return MakeTableError(route, "no destination has a weight");
  }
  if (!this->positions.emplace(MakeKey(route.host, route.path_prefix), position).second) {
    return MakeTableError(route, "another route has the same host and path prefix");
  }
  return MakeOkStatus();
}

const HostRoute* RouteIndex::Find(std::string_view host, std::string_view path) const {
  std::string_view prefix = path.substr(0, path.find('?'));
  const std::string key = MakeKey(host.substr(0, host.find(':')), prefix);
  const std::string_view key_view = key;
  const std::size_t host_size = key.size() - prefix.size();
  // Every prefix ends with a slash, so only the parts of the path up to one of its slashes can
  // match. The longest one is looked up first.
  for (std::size_t end = prefix.rfind('/'); end != std::string_view::npos;) {
    const auto found = this->positions.find(key_view.substr(0, host_size + end + 1));
    if (found != this->positions.end()) {
      return &this->table.routes[found->second];
    }
    end = end == 0 ? std::string_view::npos : prefix.rfind('/', end - 1);
  }
  return nullptr;
}

const MeshService* RouteIndex::FindService(std::string_view name) const {
  const auto found =
      std::find_if(this->table.services.begin(), this->table.services.end(),
                   [name](const MeshService& service) { return service.name == name; });
  return found == this->table.services.end() ? nullptr : &*found;
}

}  // namespace lacewingbridge
