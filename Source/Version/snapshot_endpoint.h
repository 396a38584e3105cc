#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// One target of a service as a snapshot holds it.
struct SnapshotEndpoint {
  std::string host;
  std::string data_centre;
  std::string region;
  std::string address;
  // At least 1.
  std::uint32_t slots = 1;
  // The target or its host is leaving; it gets no new work.
  bool draining = false;

  bool operator==(const SnapshotEndpoint&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_
