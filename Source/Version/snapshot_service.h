#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_SERVICE_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_SERVICE_H_

#include <vector>

#include "Rules/service_rule.h"
#include "Version/snapshot_endpoint.h"

namespace lacewingbridge {

// A service that at least one route of the snapshot names, with its endpoints ordered by address.
struct SnapshotService {
  ServiceRule rule;
  std::vector<SnapshotEndpoint> endpoints;

  bool operator==(const SnapshotService&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_SERVICE_H_
