#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// One target of a service in a route snapshot.
struct SnapshotEndpoint {
  std::string host;
  std::string data_centre;
  std::string region;
  std::string address;
  // Number of requests that the target handles at a time; at least 1.
  std::uint32_t slots = 1;
  // Whether the target or its host is draining. It then receives no new requests.
  bool draining = false;

  bool operator==(const SnapshotEndpoint&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SNAPSHOT_ENDPOINT_H_
