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

// The members or their targets changed; build a new snapshot.
struct ClusterMembersChanged {};

// Another daemon holds a newer claim owner map; ask it.
struct ClusterFetchOwnerMap {
  std::string address;
};

// Strikes heard from another daemon.
struct ClusterStrikesHeard {
  std::vector<QuarantineStrike> strikes;
};

// What the daemon has to do after an input to ClusterNode.
using ClusterAction = std::variant<SendDatagram, MemberEvent, SpreadApply, SpreadFetch, RelayCall,
                                   ClusterMembersChanged, ClusterFetchOwnerMap, ClusterStrikesHeard,
                                   JoinAskPeer, JoinReadStoreSeeds, JoinReadStoreHead>;

using ClusterActions = std::vector<ClusterAction>;

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_ACTION_H_
