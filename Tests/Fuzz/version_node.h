#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NODE_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NODE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Daemon/cluster_node.h"
#include "Daemon/store_keys.h"
#include "Daemon/store_records.h"
#include "Fuzz/version_network.h"
#include "Fuzz/version_watcher.h"
#include "Version/route_snapshot.h"

namespace lacewingbridge {

// One daemon process without threads and sockets. It uses the production code for the cluster
// state, the rules and the decisions about the store, and connects them in the way that Daemon
// does. Parts names the types of the rules and the repair, which a test may replace by
// deliberately broken ones.
template <typename Parts>
class VersionNode : public std::enable_shared_from_this<VersionNode<Parts>> {
 public:
  using Network = VersionNetwork<VersionNode>;
  using Rules = typename Parts::Rules;

  VersionNode(Network& shared_network, std::size_t own_host, std::uint64_t incarnation)
      : network(shared_network),
        host(own_host),
        settings(MakeSettings(shared_network, own_host)),
        random(shared_network.random()),
        cluster(GetValue(
            ClusterNode::Create(this->settings, incarnation, this->GetNow(), this->random()))),
        watcher(*this, this->MakeElectionSettings(), this->GetNow(), this->random) {}

  void Start() {
    this->Tick();
    this->watcher.Start();
  }

  // Runs the action in this process after the delay, then checks the invariants. While the
  // process is paused, the action waits; if the process ends before, the action is dropped.
  void Schedule(Duration delay, std::function<void()> action) {
    this->network.events.Add(delay, [weak = this->weak_from_this(), action = std::move(action)] {
      const std::shared_ptr<VersionNode> self = weak.lock();
      if (self != nullptr && self->GetNow() < self->paused_until) {
        self->Schedule(self->paused_until - self->GetNow(), action);
      } else if (self != nullptr) {
        action();
        self->CheckInvariants();
      }
    });
  }
  void PauseUntil(TimePoint time) { this->paused_until = std::max(this->paused_until, time); }
  TimePoint GetPauseEnd() const { return this->paused_until; }

  void HandleDatagram(const GossipDatagram& datagram, std::string_view from) {
    this->Perform(this->cluster->HandleDatagram(datagram, from, this->GetNow()));
  }
  void Announce(const TargetAnnouncement& announcement) {
    this->Perform(this->cluster->Announce(announcement, this->GetNow()));
  }

  template <typename Call, typename Then>
  void CallStore(Call call, Then then) {
    this->network.CallStore(this->host, call, then);
  }
  // Reads the head without a delay; nullopt if the store is down or unreachable.
  std::optional<StoreEntry> PeekHead() {
    const auto reply = this->network.store.store.Get({kHeadKey}, this->GetNow());
    const bool reachable = this->network.IsStoreReachable(this->host) && reply.has_value();
    return reachable ? std::optional<StoreEntry>(reply->entry) : std::nullopt;
  }
  // Reads the body of a version from the store and offers the version to the rules. Calls
  // then(true) after that, or then(false) if the body could not be read.
  void ReadVersion(const RulesHead& head, std::function<void(bool)> then) {
    this->CallStore(
        [head](FakeStore& store, TimePoint now) {
          return store.Get({MakeBodyKey(head.stamp.digest)}, now);
        },
        [this, head, then](const std::optional<StoreGetReply>& reply) {
          const bool found = reply.has_value() && reply->entry.revision != 0;
          if (found) {
            this->OfferVersion({head.stamp, head.parent, head.submission_id, head.operator_name,
                                head.accepted_unix_ms, reply->entry.value});
          }
          then(found);
        });
  }

  void OfferVersion(RulesVersion version) {
    if (this->rules.Offer(std::move(version)) == OfferOutcome::kApplied) {
      this->HandleHeld();
    }
  }
  // Returns whether the delta applied or was not needed. False if its parent is not held or its
  // result has another digest.
  bool OfferDelta(const RulesDeltaScript& delta) {
    const Result<OfferOutcome> outcome = this->rules.OfferDelta(delta);
    if (IsOk(outcome) && GetValue(outcome) == OfferOutcome::kApplied) {
      this->HandleHeld();
    }
    return IsOk(outcome) && GetValue(outcome) != OfferOutcome::kDigestMismatch;
  }

  TimePoint GetNow() const { return this->network.events.GetNow(); }
  Rules& GetRules() { return this->rules; }
  bool IsReady() { return this->cluster->IsReady(); }
  bool HasFirstSibling() { return this->cluster->HasFirstSibling(); }
  std::vector<WatchMember> ListScopeMembers() { return this->cluster->ListScopeMembers(false); }
  const std::string& GetScope() const { return this->settings.data_centre; }

  // Passes the version held and, if it changed, the snapshot to the oracle.
  void CheckInvariants() {
    const std::shared_ptr<const RulesVersion> held = this->rules.GetHeld();
    if (held == nullptr) {
      return;
    }
    this->network.oracle.CheckHeld(this->host, *held);
    const auto snapshot = this->rules.GetSnapshot();
    if (snapshot != this->checked) {
      this->checked = snapshot;
      this->network.oracle.CheckSnapshot(this->host, *snapshot);
    }
  }

 private:
  static Settings MakeSettings(const Network& network, std::size_t host) {
    const std::size_t data_centre = network.data_centres[host];
    Settings settings;
    settings.host = "host-" + std::to_string(host);
    settings.data_centre = "dc-" + std::to_string(data_centre);
    settings.region = "region-" + std::to_string(data_centre / 2);
    settings.control_address = Network::GetAddress(host);
    settings.profile = "convergence";
    settings.probe_interval_ms = 1000;
    settings.suspicion_ms = 5000;
    settings.watch_lease_ms = 9000;
    for (std::size_t other = 0; other < network.data_centres.size(); ++other) {
      settings.seed_addresses.push_back(Network::GetAddress(other));
    }
    return settings;
  }
  WatchElectionSettings MakeElectionSettings() const {
    WatchElectionSettings election;
    election.scope = this->settings.data_centre;
    election.host = this->settings.host;
    return election;
  }

  void Tick() {
    SpreadRelayRole role;
    role.watching = this->watcher.IsWatching();
    role.store_reachable = this->watcher.IsStoreReachable();
    this->cluster->SetRole(role);
    this->Perform(this->cluster->Tick(this->GetNow()));
    this->Schedule(MemberProber::kTickInterval, [this] { this->Tick(); });
  }

  void HandleHeld() {
    this->RebuildSnapshot();
    const std::shared_ptr<const RulesVersion> held = this->rules.GetHeld();
    this->Perform(this->cluster->HandleHeld(held->stamp, this->rules.MakeDelta(held->parent),
                                            this->GetNow()));
  }
  void RebuildSnapshot() { this->rules.RebuildSnapshot(this->cluster->ListMembers()); }

  void Perform(const ClusterActions& actions) {
    for (const ClusterAction& action : actions) {
      std::visit([this](const auto& one) { this->PerformOne(one); }, action);
    }
  }
  // Ignores actions about claims, quarantine strikes and logs, which do not concern versions.
  template <typename Action>
  void PerformOne(const Action& /*action*/) {}
  void PerformOne(const SendDatagram& action) {
    this->network.SendDatagram(this->host, action.address, action.datagram);
  }
  void PerformOne(const SpreadApply& action) { this->OfferDelta(action.delta); }
  void PerformOne(const ClusterMembersChanged& /*action*/) { this->RebuildSnapshot(); }
  void PerformOne(const SpreadFetch& action) {
    const FetchRulesRequest request{action.have};
    this->network.CallPeer(
        this->host, action.source.address,
        [request](VersionNode& peer) { return peer.rules.HandleFetchRequest(request); },
        [this, name = action.source.host](const std::optional<FetchRulesReply>& reply) {
          this->HandleFetched(name, reply);
        });
  }
  void HandleFetched(const std::string& name, const std::optional<FetchRulesReply>& reply) {
    if (reply.has_value()) {
      const bool applied = reply->delta.has_value() && this->OfferDelta(*reply->delta);
      if (!applied && reply->whole.has_value()) {
        this->OfferVersion(*reply->whole);
      }
    }
    this->Perform(this->cluster->HandleFetchEnd(name, reply.has_value(), this->GetNow()));
  }
  void PerformOne(const RelayCall& action) {
    this->network.CallPeer(
        this->host, action.address,
        [request = action.request](VersionNode& peer) {
          RelayExchangeReply reply;
          peer.Perform(peer.cluster->HandleRelayRequest(request, reply, peer.GetNow()));
          return reply;
        },
        [this, name = action.data_centre](const std::optional<RelayExchangeReply>& reply) {
          this->Perform(reply.has_value()
                            ? this->cluster->HandleRelayReply(name, *reply, this->GetNow())
                            : this->cluster->HandleRelayFailure(name, this->GetNow()));
        });
  }
  void PerformOne(const JoinAskPeer& action) {
    this->network.CallPeer(
        this->host, action.address,
        [request = ListMembersRequest{this->cluster->GetOwnRecord()}](VersionNode& peer) {
          ListMembersReply reply;
          peer.Perform(peer.cluster->HandleMembersRequest(request, reply, peer.GetNow()));
          return reply;
        },
        [this](const std::optional<ListMembersReply>& reply) {
          if (reply.has_value()) {
            this->Perform(this->cluster->HandleMembers(*reply, this->GetNow()));
          }
        });
  }
  void PerformOne(const JoinReadStoreHead& /*action*/) {
    this->CallStore([](FakeStore& store, TimePoint now) { return store.Get({kHeadKey}, now); },
                    [this](const std::optional<StoreGetReply>& reply) {
                      if (reply.has_value()) {
                        this->HandleStoreHead(DecodeHead(reply->entry));
                      }
                    });
  }
  void HandleStoreHead(const StoredHead& stored) {
    if (!stored.head.has_value() || !IsNewer(stored.head->stamp, this->rules.GetStamp())) {
      this->cluster->HandleStoreHead();
      return;
    }
    this->ReadVersion(*stored.head, [this](bool offered) {
      if (offered) {
        this->cluster->HandleStoreHead();
      }
    });
  }

  Network& network;
  std::size_t host;
  Settings settings;
  std::mt19937_64 random;
  std::unique_ptr<ClusterNode> cluster;
  Rules rules;
  VersionWatcher<VersionNode, typename Parts::Repair> watcher;
  TimePoint paused_until{};
  // The snapshot that the oracle has checked last.
  decltype(std::declval<Rules&>().GetSnapshot()) checked;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_NODE_H_
