#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PROXY_CONTEXT_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PROXY_CONTEXT_H_

#include <functional>
#include <string>

namespace lacewingbridge {

class CrashContainment;
class DaemonStage;
class MeshState;
class MetricsRegistry;
class QuotaGate;
class RecentRequests;
class TargetGate;

// The shared components that requests use. All of them outlive every request.
struct ProxyContext {
  MeshState& state;
  TargetGate& gate;
  DaemonStage& stage;
  MetricsRegistry& metrics;
  CrashContainment& containment;
  RecentRequests& recent;
  QuotaGate& quotas;
  // Called with the peer address of a daemon that holds a newer version.
  std::function<void(const std::string&)> on_newer_table;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PROXY_CONTEXT_H_
