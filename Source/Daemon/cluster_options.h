#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_

#include "Membership/member_prober.h"
#include "Spread/spread_node.h"
#include "Spread/spread_relay.h"
#include "settings.h"

namespace lacewingbridge {

// Derives the options of the membership and spread components from the settings and the
// profile that they name.
MemberProberOptions MakeProberOptions(const Settings& settings);
SpreadNodeOptions MakeSpreadOptions(const Settings& settings);
SpreadRelayOptions MakeRelayOptions(const Settings& settings);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_OPTIONS_H_
