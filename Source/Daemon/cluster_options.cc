#include "Daemon/cluster_options.h"

#include <chrono>

namespace lacewingbridge {

namespace {

bool IsConvergenceProfile(const Settings& settings) { return settings.profile == "convergence"; }

}  // namespace

MemberProberOptions MakeProberOptions(const Settings& settings) {
  MemberProberOptions options;
  options.probe_interval = std::chrono::milliseconds(settings.probe_interval_ms);
  options.suspicions.suspicion = std::chrono::milliseconds(settings.suspicion_ms);
  return options;
}

SpreadNodeOptions MakeSpreadOptions(const Settings& settings) {
  SpreadNodeOptions options;
  options.fan_out = IsConvergenceProfile(settings) ? 4 : 2;
  return options;
}

SpreadRelayOptions MakeRelayOptions(const Settings& settings) {
  SpreadRelayOptions options;
  options.interval = std::chrono::seconds(IsConvergenceProfile(settings) ? 1 : 5);
  return options;
}

}  // namespace lacewingbridge
