#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_READERS_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_READERS_H_

#include <cstddef>
#include <span>
#include <vector>

#include "mesh.h"

namespace lacewingbridge {

// Returns how many daemons of a fleet ask the store for proofs. Two, so that one may fail; more in
// large fleets, because each reader answers a share of the other daemons.
std::size_t CountProofReaders(std::size_t hosts);

// Returns the readers among the hosts. All daemons that list the same hosts choose the same ones.
std::vector<HostRecord> ChooseProofReaders(std::span<const HostRecord> hosts);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_READERS_H_
