#ifndef LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_

#include <string>

namespace lacewingbridge {

// Identity of a daemon, from its settings.
struct MeshIdentity {
  std::string host;
  std::string data_centre;
  std::string region;
  // Address of the target beside the daemon, and the service of that target.
  std::string target_address;
  std::string service;
  // Address to which other daemons send requests.
  std::string peer_address;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_MESH_IDENTITY_H_
