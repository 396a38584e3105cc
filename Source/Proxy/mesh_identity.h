#ifndef LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_

#include <string>

namespace lacewingbridge {

// What a daemon knows about itself from its settings.
struct MeshIdentity {
  std::string host;
  std::string data_centre;
  std::string region;
  // Address of the target beside it and the service that it belongs to.
  std::string target_address;
  std::string service;
  // Address on which other daemons send requests.
  std::string peer_address;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_
