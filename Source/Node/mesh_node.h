#ifndef LACEWINGBRIDGE_SOURCE_NODE_MESH_NODE_H_
#define LACEWINGBRIDGE_SOURCE_NODE_MESH_NODE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Core/hash.h"
#include "Core/result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Http/stream_listener.h"
#include "Node/operator_handler.h"
#include "Node/peer_checker.h"
#include "Node/setting_differences.h"
#include "Node/snapshot_fetcher.h"
#include "Node/target_prober.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/caller_handler.h"
#include "Proxy/crash_containment.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_handler.h"
#include "Proxy/proxy_context.h"
#include "Proxy/quota_gate.h"
#include "Proxy/recent_requests.h"
#include "Proxy/target_gate.h"
#include "Store/store_sync.h"
#include "mesh.h"

namespace lacewingbridge {

// The parts that a platform provides: the names of headers, a client of its store, the source of
// the route table, and the handlers of the target's announcements and of readiness checks.
template <typename Platform>
concept MeshPlatform = requires {
  typename Platform::Wire;
  typename Platform::StoreClient;
  typename Platform::Source;
  typename Platform::ControlHandler;
  typename Platform::ReadyHandler;
};

// One daemon of a mesh: its listeners, its threads and the state that they share. Requests run on
// the worker shards; the store, the target and the metrics are handled on the control shard, whose
// thread is the one that calls Run.
template <MeshPlatform Platform>
class MeshNode {
 public:
  static Result<std::unique_ptr<MeshNode>> Create(const MeshSettings& settings,
                                                  std::uint64_t seed) {
    std::unique_ptr<MeshNode> node(new MeshNode(settings, seed));
    const Status listening = node->Listen();
    if (!IsOk(listening)) {
      return GetError(listening);
    }
    return node;
  }

  // Runs until Stop has been called and the open requests have ended. Calls tick_hook on the
  // control shard's thread about every 200 ms.
  void Run(const std::function<void()>& tick_hook) {
    this->on_tick = tick_hook;
    this->callers->Start();
    this->peers->Start();
    this->control->Start();
    this->ready->Start();
    this->operator_listener->Start();
    this->sync.Start();
    this->checker.Start();
    asio::co_spawn(
        this->GetControlContext(), [this]() -> Awaitable<void> { co_await this->Tick(); },
        asio::detached);
    std::vector<std::thread> threads;
    for (const std::unique_ptr<IoShard>& worker : this->workers) {
      threads.emplace_back([&worker] {
        const auto guard = asio::make_work_guard(worker->GetContext());
        worker->GetContext().run();
      });
    }
    this->GetControlContext().run();
    for (const std::unique_ptr<IoShard>& worker : this->workers) {
      worker->GetContext().stop();
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  // Starts the drain: the daemon reports that it is not ready, and still serves the requests that
  // arrive. Has to be called on the control shard's thread.
  void Stop() {
    if (this->stage.IsStopping()) {
      return;
    }
    const TimePoint now = GetNow();
    this->stage.BeginStop(now + kMinDrain, now + this->stop_limit * kEndPercent / 100,
                          now + this->stop_limit * kAnswerPercent / 100);
    const bool target_stays = this->gate.MakeRecord().accepting;
    this->gate.SetLeaving();
    this->sync.Leave(target_stays);
    EventLog::Write(Event::kStopping, "requests={} connections={}", this->stage.GetRequestCount(),
                    this->stage.GetConnectionCount());
    asio::co_spawn(
        this->GetControlContext(), [this]() -> Awaitable<void> { co_await this->Drain(); },
        asio::detached);
  }

  // Applies the settings that can change while the daemon runs: the retry budget, the minimum
  // lease, the stop limit and the bound on removed keys. Returns the names of other changed
  // settings, which need a restart. Has to be called on the control shard's thread.
  std::vector<std::string> ApplySettings(const MeshSettings& changed) {
    this->stop_limit = std::chrono::milliseconds(changed.stop_limit_ms);
    this->state.SetRetryBound(MakeRetryBound(changed, this->started_at));
    this->gate.SetRunWindow(std::chrono::milliseconds(changed.retry_window_ms));
    this->sync.SetMinLease(std::chrono::milliseconds(changed.min_lease_ms));
    this->state.SetRevokeBound(std::chrono::milliseconds(changed.revoke_bound_ms));
    MeshSettings applied = this->settings;
    applied.stop_limit_ms = changed.stop_limit_ms;
    applied.retry_ratio = changed.retry_ratio;
    applied.retry_slack = changed.retry_slack;
    applied.retry_window_ms = changed.retry_window_ms;
    applied.min_lease_ms = changed.min_lease_ms;
    applied.revoke_bound_ms = changed.revoke_bound_ms;
    this->settings = applied;
    return ListSettingDifferences(applied, changed);
  }

  asio::io_context& GetControlContext() { return this->control_shards[0]->GetContext(); }

 private:
  static constexpr Duration kTickInterval = std::chrono::milliseconds(200);
  // Minimum duration of the drain. Callers check readiness once a second and need up to two checks
  // to see that this daemon is not ready; until then they open new connections.
  static constexpr Duration kMinDrain = std::chrono::milliseconds(2600);
  // Fractions of the stop limit, the time until the process is killed, in percent. Requests that
  // can be finished are accepted until the first; see DaemonStage::MayTake. Open ones are answered
  // by the second, which leaves time to send the responses. The process ends by the third.
  static constexpr int kAcceptPercent = 48;
  static constexpr int kAnswerPercent = 88;
  static constexpr int kEndPercent = 93;
  static constexpr std::size_t kMetricsShards = 4;

  MeshNode(const MeshSettings& given, std::uint64_t seed)
      : stop_limit(std::chrono::milliseconds(given.stop_limit_ms)),
        settings(given),
        workers(MakeShards(given.worker_threads, seed)),
        control_shards(MakeShards(1, seed + given.worker_threads)),
        metrics(kMetricsShards),
        state(MakeIdentity(given), MakeRetryBound(given, this->started_at)),
        gate(given.service, given.link_bytes_per_second),
        quotas(given.host, MakeQuotaBound(given), CombineHashes(seed, HashBytes(given.host)),
               this->metrics),
        fetcher(*this->control_shards[0], this->state),
        context{
            this->state,       this->gate,
            this->stage,       this->metrics,
            this->containment, this->recent,
            this->quotas,      [this](const std::string& peer) { this->RequestSnapshot(peer); }},
        caller_handler(this->context),
        peer_handler(this->context),
        operator_handler(this->context),
        control_handler(this->gate, [this] { this->sync.OnRecordChanged(); }),
        ready_handler([this] { return this->IsReady(); }),
        client(*this->control_shards[0], given.store_address),
        sync(*this->control_shards[0], this->state, this->gate, this->client,
             {std::chrono::milliseconds(given.min_lease_ms),
              std::chrono::milliseconds(given.table_bound_ms), given.link_bytes_per_second}),
        checker(*this->control_shards[0], this->state,
                [this](const std::string& peer, const PeerProgress& progress) {
                  this->HandlePeerProgress(peer, progress);
                }),
        prober(*this->control_shards[0], this->state, this->gate) {
    this->gate.SetRunWindow(std::chrono::milliseconds(given.retry_window_ms));
    this->sync.SetLeaseListener([this](const LeaseProof* proof) { this->HandleLease(proof); });
    this->sync.SetEarlierRecordListener(
        [this](TimePoint sent) { this->quotas.RecordEarlierProcess(sent); });
    this->sync.SetGrantsCheck([this](std::uint64_t lease) {
      return this->HasQuotas() && this->quotas.HasSettled(GetNow(), lease);
    });
    this->state.SetRevokeBound(std::chrono::milliseconds(given.revoke_bound_ms));
  }

  static std::vector<std::unique_ptr<IoShard>> MakeShards(std::size_t count, std::uint64_t seed) {
    std::vector<std::unique_ptr<IoShard>> shards;
    for (std::size_t i = 0; i < std::max<std::size_t>(count, 1); ++i) {
      shards.push_back(std::make_unique<IoShard>(seed + i));
    }
    return shards;
  }

  static MeshIdentity MakeIdentity(const MeshSettings& given) {
    MeshIdentity identity;
    identity.host = given.host;
    identity.data_centre = given.data_centre;
    identity.region = given.region;
    identity.target_address = given.target_address;
    identity.service = given.service;
    identity.peer_address = given.peer_address;
    return identity;
  }

  // `start` is when this process started.
  static RetryBound MakeRetryBound(const MeshSettings& given, TimePoint start) {
    RetryBound bound;
    bound.ratio = given.retry_ratio;
    bound.slack = given.retry_slack;
    bound.window = std::chrono::milliseconds(given.retry_window_ms);
    bound.slack_from = start + bound.window;
    return bound;
  }

  static QuotaBound MakeQuotaBound(const MeshSettings& given) {
    return {std::chrono::milliseconds(given.quota_window_ms), given.quota_overage,
            given.quota_slack};
  }

  template <typename Handler>
  Status OpenListener(const std::string& address,
                      std::span<const std::unique_ptr<IoShard>> listener_shards, Handler& handler,
                      std::unique_ptr<StreamListener<Handler>>& listener) {
    auto created = StreamListener<Handler>::Create(address, listener_shards, handler);
    if (!IsOk(created)) {
      return GetError(created);
    }
    listener = std::move(GetValue(created));
    return MakeOkStatus();
  }

  Status Listen() {
    Status status = this->OpenListener(this->settings.caller_address, this->workers,
                                       this->caller_handler, this->callers);
    if (IsOk(status)) {
      status = this->OpenListener(this->settings.peer_address, this->workers, this->peer_handler,
                                  this->peers);
    }
    if (IsOk(status)) {
      status = this->OpenListener(this->settings.control_address, this->control_shards,
                                  this->control_handler, this->control);
    }
    if (IsOk(status)) {
      status = this->OpenListener(this->settings.ready_address, this->control_shards,
                                  this->ready_handler, this->ready);
    }
    if (IsOk(status)) {
      status = this->OpenListener(this->settings.metrics_address, this->control_shards,
                                  this->operator_handler, this->operator_listener);
    }
    return status;
  }

  bool IsReady() const { return !this->stage.IsStopping() && this->state.GetTableVersion() > 0; }

  void RequestSnapshot(const std::string& peer) {
    asio::post(this->GetControlContext(), [this, peer] {
      this->fetcher.Request(peer, this->sync.GetTableDeliveryTime(GetNow()));
    });
  }

  void HandlePeerProgress(const std::string& peer, const PeerProgress& progress) {
    if (progress.table_version > this->state.GetTableVersion()) {
      this->fetcher.Request(peer, this->sync.GetTableDeliveryTime(GetNow()));
    }
    this->sync.HandlePeerProgress(GetNow(), progress);
  }

  void HandleLease(const LeaseProof* proof) {
    if (proof == nullptr) {
      this->quotas.RecordLeaseEnd();
    } else {
      this->quotas.RecordRenewal(proof->sent_at, GetNow(), proof->lease, proof->lease_time);
    }
  }

  // Whether the version in force has a workspace with a rate.
  bool HasQuotas() const {
    const std::shared_ptr<const RouteIndex> index = this->state.GetIndex();
    return index != nullptr &&
           std::ranges::any_of(index->GetTable().workspaces,
                               [](const MeshWorkspace& given) { return given.rate_per_s > 0; });
  }

  void UpdateQuotas() {
    const std::shared_ptr<const RouteIndex> index = this->state.GetIndex();
    if (index == nullptr || index->GetTable().workspaces.empty()) {
      return;
    }
    // Read before the hosts, so that no change is missed.
    const std::uint64_t generation = this->state.GetHostsGeneration();
    if (std::exchange(this->quota_hosts_generation, generation) != generation) {
      this->quotas.HandleHosts(GetNow(), this->state.GetHosts());
    }
    this->quotas.DropIdle(GetNow());
  }

  Awaitable<void> Tick() {
    asio::steady_timer timer(this->GetControlContext());
    ErrorCode code;
    while (!this->ended) {
      this->on_tick();
      this->state.DropRemovedHosts(GetNow());
      this->UpdateQuotas();
      const bool probed = co_await this->prober.ProbeIfDue();
      if (probed) {
        this->sync.OnRecordChanged();
      }
      this->control_shards[0]->GetPool().DropExpired(GetNow());
      for (const std::unique_ptr<IoShard>& worker : this->workers) {
        asio::post(worker->GetContext(),
                   [&shard = *worker] { shard.GetPool().DropExpired(GetNow()); });
      }
      timer.expires_after(kTickInterval);
      co_await timer.async_wait(AwaitInto(code));
    }
  }

  // Serves arriving requests until callers have seen that this daemon is not ready. Then refuses
  // new requests, and ends when the open ones have ended, also those that are still being read,
  // and the responses have been read, or the time is up. A socket that is closed with unread
  // bytes is reset, and its caller loses a response that it has not read.
  Awaitable<void> Drain() {
    const TimePoint begin = GetNow();
    const TimePoint accept_until = begin + this->stop_limit * kAcceptPercent / 100;
    const TimePoint latest = begin + this->stop_limit * kEndPercent / 100;
    while (GetNow() < accept_until &&
           (GetNow() < begin + kMinDrain || this->stage.GetRequestCount() > 0)) {
      co_await this->PauseDrain();
    }
    this->stage.BeginClosing();
    co_await this->PauseDrain();
    while (GetNow() < latest && this->stage.GetRequestCount() > 0) {
      co_await this->PauseDrain();
    }
    this->callers->Stop();
    this->peers->Stop();
    // Connections that were opened before the listeners were closed.
    co_await this->PauseDrain();
    while (GetNow() < latest && this->stage.GetBusyConnectionCount() > 0) {
      co_await this->PauseDrain();
    }
    EventLog::Write(this->stage.GetRequestCount() > 0 ? Event::kDrainLimit : Event::kStopped,
                    "requests={} busy_connections={}", this->stage.GetRequestCount(),
                    this->stage.GetBusyConnectionCount());
    this->ended = true;
    this->GetControlContext().stop();
  }

  Awaitable<void> PauseDrain() {
    constexpr Duration kCheckInterval = std::chrono::milliseconds(50);
    asio::steady_timer timer(this->GetControlContext(), kCheckInterval);
    ErrorCode code;
    co_await timer.async_wait(AwaitInto(code));
  }

  const TimePoint started_at = GetNow();
  Duration stop_limit;
  MeshSettings settings;
  const std::vector<std::unique_ptr<IoShard>> workers;
  const std::vector<std::unique_ptr<IoShard>> control_shards;
  MetricsRegistry metrics;
  DaemonStage stage;
  MeshState state;
  TargetGate gate;
  CrashContainment containment;
  RecentRequests recent;
  QuotaGate quotas;
  // Of the hosts that the quotas know.
  std::uint64_t quota_hosts_generation = 0;
  SnapshotFetcher fetcher;
  ProxyContext context;
  CallerHandler<typename Platform::Wire> caller_handler;
  PeerHandler<typename Platform::Wire> peer_handler;
  OperatorHandler operator_handler;
  typename Platform::ControlHandler control_handler;
  typename Platform::ReadyHandler ready_handler;
  typename Platform::StoreClient client;
  StoreSync<typename Platform::StoreClient, typename Platform::Source> sync;
  PeerChecker checker;
  TargetProber<typename Platform::Wire> prober;
  std::unique_ptr<StreamListener<CallerHandler<typename Platform::Wire>>> callers;
  std::unique_ptr<StreamListener<PeerHandler<typename Platform::Wire>>> peers;
  std::unique_ptr<StreamListener<typename Platform::ControlHandler>> control;
  std::unique_ptr<StreamListener<typename Platform::ReadyHandler>> ready;
  std::unique_ptr<StreamListener<OperatorHandler>> operator_listener;
  std::function<void()> on_tick;
  bool ended = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_MESH_NODE_H_
