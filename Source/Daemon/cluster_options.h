#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_

#include "Membership/member_prober.h"
#include "Spread/spread_node.h"
#include "Spread/spread_relay.h"
#include "settings.h"

namespace lacewingbridge {

// Options of the decision logic as the settings and their profile say.
MemberProberOptions MakeProberOptions(const Settings& settings);
SpreadNodeOptions MakeSpreadOptions(const Settings& settings);
SpreadRelayOptions MakeRelayOptions(const Settings& settings);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_
