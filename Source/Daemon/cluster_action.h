#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_ACTION_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_ACTION_H_

#include <string>
#include <variant>
#include <vector>

#include "Membership/join_process.h"
#include "Membership/member_prober.h"
#include "Spread/spread_node.h"
#include "Spread/spread_relay.h"

namespace lacewingbridge {

// The members or their targets changed, so the daemon has to rebuild its route snapshot.
struct ClusterMembersChanged {};

// Another daemon holds a newer claim owner map. The daemon has to fetch it from this control
// address.
struct ClusterFetchOwnerMap {
  std::string address;
};

// Quarantine strikes that were received from another daemon.
struct ClusterStrikesReceived {
  std::vector<QuarantineEvidence> strikes;
};

// An action that the daemon has to perform after an input to ClusterNode.
using ClusterAction =
    std::variant<SendDatagram, MemberEvent, SpreadApply, SpreadFetch, RelayCall,
                 ClusterMembersChanged, ClusterFetchOwnerMap, ClusterStrikesReceived, JoinAskPeer,
                 JoinReadStoreSeeds, JoinReadStoreHead>;

using ClusterActions = std::vector<ClusterAction>;

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_ACTION_H_
