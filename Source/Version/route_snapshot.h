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
#include "rules.h"

namespace lacewingbridge {

// What a daemon routes by: one rules version together with the endpoints of the services
// its routes name. Immutable, so that it can be read without a lock and swapped as a
// whole.
class RouteSnapshot {
 public:
  // A route and its service; both live as long as the snapshot.
  struct Match {
    const RouteRule& route;
    const SnapshotService& service;
  };

  // The matcher refers to the document.
  RouteSnapshot(const RouteSnapshot&) = delete;
  RouteSnapshot& operator=(const RouteSnapshot&) = delete;

  const VersionStamp& GetVersion() const { return this->version; }
  const RulesDocument& GetDocument() const { return *this->document; }

  // Ordered by name.
  std::span<const SnapshotService> GetServices() const { return this->services; }

  // nullptr if no route names the service.
  const SnapshotService* FindService(std::string_view name) const;

  // As RulesMatcher::FindRoute. Allocates nothing.
  std::optional<Match> FindRoute(std::string_view method, std::string_view path) const;

 private:
  friend class SnapshotBuilder;

  RouteSnapshot(VersionStamp stamp, std::shared_ptr<const RulesDocument> shared_document,
                std::vector<SnapshotService> named_services);

  VersionStamp version;
  std::shared_ptr<const RulesDocument> document;
  RulesMatcher matcher;
  std::vector<SnapshotService> services;
  // Index into `services` of each route of the document.
  std::vector<std::size_t> route_services;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_ROUTE_SNAPSHOT_H_
