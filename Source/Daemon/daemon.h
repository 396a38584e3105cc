#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>

#include "Core/result.h"
#include "Daemon/claim_service.h"
#include "Daemon/cluster_node.h"
#include "Daemon/gossip_socket.h"
#include "Daemon/http_listener.h"
#include "Daemon/peer_client.h"
#include "Daemon/proxy_handler.h"
#include "Daemon/rules_state.h"
#include "Daemon/service_table.h"
#include "Daemon/store_http_client.h"
#include "Daemon/store_watcher.h"
#include "Daemon/target_connections.h"
#include "Daemon/work_queue.h"
#include "Observe/metrics_registry.h"
#include "dump.h"
#include "settings.h"

namespace lacewingbridge {

// The daemon of one host. Owns the sharded state, the listeners and the threads, and performs the
// actions that the decision logic returns.
class Daemon {
 public:
  static Result<std::unique_ptr<Daemon>> Create(const Settings& settings);
  ~Daemon();
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  // Opens the listeners and starts the threads.
  Status Start();

  // Announces that the host leaves, waits for requests in flight and for the handover of claims
  // up to the drain limit, then accepts no new work and ends all threads.
  void Shutdown();

  // Marks this daemon as draining. The daemon goes on running.
  void StartDrain();

  // Parts used by the handlers of the control address.
  const Settings& GetSettings() const { return this->settings; }
  RulesState& GetRules() { return this->rules; }
  ClusterNode& GetCluster() { return *this->cluster; }
  ClaimService& GetClaims() { return *this->claims; }
  StoreHttpClient& GetStore() { return *this->store; }
  StoreWatcher& GetWatcher() { return *this->watcher; }
  MetricsRegistry& GetMetrics() { return this->metrics; }
  ServiceTable& GetServices() { return this->services; }

  StateDump DumpState();
  std::string FormatGauges();
  bool IsReady();

  // Puts a version in force if it is newer, and spreads it to other daemons.
  OfferOutcome OfferVersion(RulesVersion version);
  // Does the same with the version that results from a delta. Returns false if the delta cannot
  // be applied.
  bool OfferDelta(const RulesDeltaScript& delta);

  // Performs the actions that the cluster node has returned.
  void Perform(ClusterActions actions);

 private:
  Daemon(const Settings& given, std::uint64_t own_incarnation);

  Status CreateParts();
  StoreWatcher::Hooks MakeWatcherHooks();
  ProxyEnvironment MakeProxyEnvironment();
  // Whether this daemon knows of no newer version, and is in touch with those that would tell it.
  bool IsNewestKnown(const VersionStamp& version);

  void PerformOne(SendDatagram& action);
  void PerformOne(const MemberEvent& action);
  void PerformOne(const SpreadApply& action);
  void PerformOne(const SpreadFetch& action);
  void PerformOne(const RelayCall& action);
  void PerformOne(const ClusterMembersChanged& action);
  void PerformOne(const ClusterFetchOwnerMap& action);
  void PerformOne(const ClusterStrikesReceived& action);
  void PerformOne(const JoinAskPeer& action);
  void PerformOne(const JoinReadStoreSeeds& action);
  void PerformOne(const JoinReadStoreHead& action);

  void HandleDatagram(std::string_view bytes, const std::string& from);
  void Tick();
  void HandleHeld();
  void RebuildSnapshot();
  void FetchRules(const SpreadFetch& action);
  void CallRelay(const RelayCall& action);
  void AddRoutes(std::span<ServiceDump> dumps) const;
  void WaitForRequests();
  void WaitForHandover(TimePoint limit);
  // A version that arrives from another data centre suggests that the watcher of the own data
  // centre has failed; this reports it to the store watcher.
  void CheckSource(const SpreadSource& source);

  Settings settings;
  std::uint64_t incarnation;
  RulesState rules;
  ServiceTable services;
  MetricsRegistry metrics;
  TargetConnections targets;
  TargetConnections connections;
  PeerClient peers;
  std::unique_ptr<ClusterNode> cluster;
  std::unique_ptr<StoreHttpClient> store;
  std::unique_ptr<WorkQueue> work;
  std::unique_ptr<ClaimService> claims;
  std::unique_ptr<ProxyHandler> proxy;
  std::unique_ptr<StoreWatcher> watcher;
  std::unique_ptr<GossipSocket> gossip;
  std::unique_ptr<HttpListener> caller_listener;
  std::unique_ptr<HttpListener> control_listener;
  std::atomic<bool> ready{false};
  std::atomic<bool> draining{false};
  std::atomic<bool> claim_tick_running{false};
  TimePoint next_claim_tick;
  bool stopped = false;
  std::mutex snapshot_build_mutex;
  std::mutex shutdown_mutex;
  std::condition_variable shutdown_changed;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_H_
