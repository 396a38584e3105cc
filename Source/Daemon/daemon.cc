#include "Daemon/daemon.h"

#include <fmt/core.h>
#include <httplib.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "Daemon/control_handlers.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/proxy_exchange.h"
#include "Daemon/store_records.h"
#include "Observe/event_log.h"
#include "Rules/rules_document.h"
#include "Version/route_snapshot.h"
#include "membership_codec.h"
#include "peer_codec.h"
#include "store_codec.h"

namespace lacewingbridge {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPeerTimeout{2000};
constexpr std::size_t kWorkThreads = 4;
constexpr std::size_t kWorkCapacity = 256;
constexpr Duration kClaimTickInterval = std::chrono::milliseconds(500);
constexpr std::size_t kSeedAddressCount = 8;
constexpr milliseconds kHandoverPollInterval{100};
constexpr std::size_t kStrikesPerDatagram = 4;
// Time after the announcement of a drain until peers send no new requests. It keeps the invariant
// that a leaving host receives no new work after a few seconds.
constexpr milliseconds kDrainNotice{1000};

ClaimHostStatus GetClaimStatus(MemberState state) {
  switch (state) {
    case MemberState::kDead:
      return ClaimHostStatus::kGone;
    case MemberState::kDraining:
      return ClaimHostStatus::kDraining;
    default:
      return ClaimHostStatus::kAlive;
  }
}

// Returns the scope of the store watcher: the data centre in the profile "convergence",
// otherwise the region.
std::string GetScope(const Settings& settings) {
  return settings.profile == "convergence" ? "data_centre/" + settings.data_centre
                                           : "region/" + settings.region;
}

bool IsRegionScope(const Settings& settings) { return settings.profile != "convergence"; }

}  // namespace

Result<std::unique_ptr<Daemon>> Daemon::Create(const Settings& settings) {
  // Incarnations must grow with each start of a host. The time in milliseconds does.
  std::unique_ptr<Daemon> daemon(new Daemon(settings, GetUnixMilliseconds()));
  const Status created = daemon->CreateParts();
  if (!IsOk(created)) {
    return GetError(created);
  }
  return daemon;
}

Daemon::Daemon(const Settings& given, std::uint64_t own_incarnation)
    : settings(given),
      incarnation(own_incarnation),
      services(given.data_centre, given.region, given.state_shards),
      metrics(given.state_shards),
      targets(given.state_shards, milliseconds(given.connect_timeout_ms)),
      connections(given.state_shards, milliseconds(given.connect_timeout_ms)),
      peers(this->connections, this->metrics, kPeerTimeout) {}

Daemon::~Daemon() { this->Shutdown(); }

Status Daemon::CreateParts() {
  auto created_cluster =
      ClusterNode::Create(this->settings, this->incarnation, GetNow(), std::random_device{}());
  if (!IsOk(created_cluster)) {
    return GetError(created_cluster);
  }
  this->cluster = std::move(GetValue(created_cluster));
  auto created_store = StoreHttpClient::Create(this->settings.store_address,
                                               milliseconds(this->settings.store_timeout_ms));
  if (!IsOk(created_store)) {
    return GetError(created_store);
  }
  this->store = std::move(GetValue(created_store));
  this->work = std::make_unique<WorkQueue>(kWorkThreads, kWorkCapacity);
  auto created_claims = ClaimService::Create(
      this->settings, this->incarnation, GetNow(), this->peers, *this->work,
      [this](std::string_view host) { return this->cluster->FindControlAddress(host); });
  if (!IsOk(created_claims)) {
    return GetError(created_claims);
  }
  this->claims = std::move(GetValue(created_claims));
  this->proxy = std::make_unique<ProxyHandler>(this->MakeProxyEnvironment());
  this->watcher =
      std::make_unique<StoreWatcher>(this->settings, GetScope(this->settings), *this->store,
                                     this->rules, *this->claims, this->MakeWatcherHooks());
  return MakeOkStatus();
}

ProxyEnvironment Daemon::MakeProxyEnvironment() {
  return {this->settings,
          this->incarnation,
          this->rules,
          this->services,
          *this->claims,
          this->targets,
          this->metrics,
          [this] { return this->IsReady(); },
          [this](const VersionStamp& version) { return this->IsNewestKnown(version); }};
}

bool Daemon::IsNewestKnown(const VersionStamp& version) {
  const bool cut_off = this->cluster->IsCutOff(GetNow()) ||
                       (this->watcher->IsWatching() && !this->watcher->IsStoreReachable());
  return !cut_off && !IsNewer(this->rules.GetStamp(), version) &&
         !this->cluster->KnowsNewerVersion(version);
}

StoreWatcher::Hooks Daemon::MakeWatcherHooks() {
  StoreWatcher::Hooks hooks;
  hooks.list_members = [this] {
    return this->cluster->ListScopeMembers(IsRegionScope(this->settings));
  };
  hooks.list_seeds = [this] {
    return std::vector<std::pair<std::string, std::vector<std::string>>>{
        {this->settings.data_centre, this->cluster->ListSeedAddresses(kSeedAddressCount)}};
  };
  hooks.offer = [this](RulesVersion version) { this->OfferVersion(std::move(version)); };
  hooks.offer_delta = [this](const RulesDeltaScript& delta) { return this->OfferDelta(delta); };
  hooks.has_first_sibling = [this] { return this->cluster->HasFirstSibling(); };
  return hooks;
}

Status Daemon::Start() {
  GossipSocket::Handlers handlers;
  handlers.receive = [this](std::string_view bytes, const std::string& from) {
    this->HandleDatagram(bytes, from);
  };
  handlers.tick = [this] { this->Tick(); };
  auto created = GossipSocket::Create(
      this->settings.control_address,
      std::chrono::duration_cast<milliseconds>(MemberProber::kTickInterval), std::move(handlers));
  if (!IsOk(created)) {
    return GetError(created);
  }
  this->gossip = std::move(GetValue(created));

  this->control_listener = std::make_unique<HttpListener>(this->settings.control_threads);
  AddControlHandlers(this->control_listener->GetServer(), *this);
  Status control = this->control_listener->Start(this->settings.control_address);
  if (!IsOk(control)) {
    return control;
  }
  this->caller_listener = std::make_unique<HttpListener>(this->settings.caller_threads);
  const auto serve = [this](const httplib::Request& request, httplib::Response& response) {
    this->proxy->Handle(request, response);
  };
  this->caller_listener->SetRequestHook(HideBodyHeaders);
  httplib::Server& server = this->caller_listener->GetServer();
  server.Get(".*", serve).Post(".*", serve).Put(".*", serve);
  server.Patch(".*", serve).Delete(".*", serve).Options(".*", serve);
  Status caller = this->caller_listener->Start(this->settings.caller_address);
  if (!IsOk(caller)) {
    return caller;
  }
  this->gossip->Start();
  this->watcher->Start();
  EventLog::Write(Event::kStarted, "caller={} control={} data_centre={} region={} profile={}",
                  this->settings.caller_address, this->settings.control_address,
                  this->settings.data_centre, this->settings.region, this->settings.profile);
  return MakeOkStatus();
}

void Daemon::StartDrain() {
  if (this->draining.exchange(true)) {
    return;
  }
  EventLog::Write(Event::kStopping, "in_flight={}", this->proxy->CountInFlight());
  this->proxy->StartDrain();
  this->Perform(this->cluster->StartDrain(GetNow()));
}

void Daemon::Shutdown() {
  if (this->stopped) {
    return;
  }
  this->stopped = true;
  if (this->gossip != nullptr) {
    this->StartDrain();
    this->WaitForRequests();
  }
  // Requests may still wait for peers and the store, so the parts that serve them stop after the
  // listener for callers.
  if (this->caller_listener != nullptr) {
    this->caller_listener->Stop();
  }
  this->watcher->Stop();
  if (this->control_listener != nullptr) {
    this->control_listener->Stop();
  }
  if (this->gossip != nullptr) {
    this->gossip->Stop();
  }
  this->work->Stop();
  EventLog::Write(Event::kStopped, "host={}", this->settings.host);
}

void Daemon::WaitForRequests() {
  const TimePoint started = GetNow();
  const TimePoint limit = started + milliseconds(this->settings.drain_limit_ms);
  this->proxy->WaitUntilIdle(std::min(limit, started + kDrainNotice), limit);
  if (this->proxy->CountInFlight() > 0) {
    EventLog::Write(Event::kDrainLimit, "in_flight={}", this->proxy->CountInFlight());
  }
  this->WaitForHandover(limit);
}

void Daemon::WaitForHandover(TimePoint limit) {
  // The watcher removes a draining host from the owner map, and its claims are then handed over
  // to the new owners. There is nothing to wait for if there are no claims, the store is
  // unreachable or no other daemon stays.
  std::unique_lock lock(this->shutdown_mutex);
  while (GetNow() < limit && this->claims->CountKeys() > 0 && !this->claims->IsReleased() &&
         this->watcher->IsStoreReachable() && this->cluster->HasOtherActiveMember()) {
    this->shutdown_changed.wait_for(lock, kHandoverPollInterval);
  }
}

bool Daemon::IsReady() {
  // Once ready, the daemon stays ready, and requests no longer take the lock of the cluster
  // node.
  if (!this->ready.load()) {
    this->ready = this->cluster->IsReady();
  }
  return this->ready.load();
}

void Daemon::HandleDatagram(std::string_view bytes, const std::string& from) {
  GossipDatagram datagram;
  if (!Decode(bytes, datagram)) {
    return;
  }
  const TimePoint now = GetNow();
  this->claims->RecordMessageFrom(datagram.sender_host, now);
  this->Perform(this->cluster->HandleDatagram(datagram, from, now));
}

void Daemon::Tick() {
  const TimePoint now = GetNow();
  SpreadRelayRole role;
  role.watching = this->watcher->IsWatching();
  role.store_reachable = this->watcher->IsStoreReachable();
  this->cluster->SetRole(role);
  this->cluster->SetClaimEpoch(this->claims->GetEpoch());
  if (this->cluster->NeedsStrikes()) {
    this->cluster->SetStrikes(this->services.TakeEvidence(now, kStrikesPerDatagram), now);
  }
  this->Perform(this->cluster->Tick(now));
  this->services.ExpireQueues(now);
  if (now < this->next_claim_tick || this->claim_tick_running.exchange(true)) {
    return;
  }
  this->next_claim_tick = now + kClaimTickInterval;
  const bool added = this->work->Add([this] {
    this->claims->Tick(GetNow());
    this->claim_tick_running = false;
  });
  if (!added) {
    this->claim_tick_running = false;
  }
}

OfferOutcome Daemon::OfferVersion(RulesVersion version) {
  const OfferOutcome outcome = this->rules.Offer(std::move(version));
  if (outcome == OfferOutcome::kApplied) {
    this->HandleHeld();
  }
  return outcome;
}

bool Daemon::OfferDelta(const RulesDeltaScript& delta) {
  const Result<OfferOutcome> outcome = this->rules.OfferDelta(delta);
  if (!IsOk(outcome)) {
    return false;
  }
  if (GetValue(outcome) == OfferOutcome::kApplied) {
    this->HandleHeld();
  }
  return GetValue(outcome) != OfferOutcome::kDigestMismatch;
}

void Daemon::HandleHeld() {
  this->RebuildSnapshot();
  const std::shared_ptr<const RulesVersion> held = this->rules.GetHeld();
  this->Perform(
      this->cluster->HandleHeld(held->stamp, this->rules.MakeDelta(held->parent), GetNow()));
  this->watcher->NotifyHeld();
}

void Daemon::RebuildSnapshot() {
  // Builds one snapshot at a time, so that an older list of members never replaces a newer one.
  const std::lock_guard guard(this->snapshot_build_mutex);
  const std::vector<MemberRecord> members = this->cluster->ListMembers();
  this->rules.RebuildSnapshot(members);
  const std::shared_ptr<const RouteSnapshot> snapshot = this->rules.GetSnapshot();
  if (snapshot != nullptr) {
    this->services.ApplySnapshot(*snapshot, members, GetNow());
  }
}

void Daemon::Perform(ClusterActions actions) {
  for (ClusterAction& action : actions) {
    std::visit([this](auto& one) { this->PerformOne(one); }, action);
  }
}

void Daemon::PerformOne(SendDatagram& action) {
  const std::string bytes = Encode(action.datagram);
  this->gossip->Send(action.address, bytes);
}

void Daemon::PerformOne(const MemberEvent& action) {
  EventLog::Write(action.event, "{}", action.host);
}

void Daemon::PerformOne(const SpreadApply& action) {
  // If this daemon does not hold the parent version, the next stamp from that peer leads to a
  // fetch.
  this->OfferDelta(action.delta);
  this->CheckSource(action.source);
}

void Daemon::CheckSource(const SpreadSource& source) {
  if (!IsRegionScope(this->settings) && !this->cluster->IsOwnDataCentre(source.host)) {
    this->watcher->RecordHolderSuspicion();
  }
}

void Daemon::PerformOne(const SpreadFetch& action) {
  this->CheckSource(action.source);
  const bool added = this->work->Add([this, action] { this->FetchRules(action); });
  if (!added) {
    this->Perform(this->cluster->HandleFetchEnd(action.source.host, false, GetNow()));
  }
}

void Daemon::FetchRules(const SpreadFetch& action) {
  const auto response = this->peers.Call<FetchRulesReply>(action.source.address, kFetchRulesPath,
                                                          FetchRulesRequest{action.have});
  const auto* reply = std::get_if<FetchRulesReply>(&response);
  if (reply != nullptr) {
    const bool applied = reply->delta.has_value() && this->OfferDelta(*reply->delta);
    if (!applied && reply->whole.has_value()) {
      this->OfferVersion(*reply->whole);
    }
  }
  this->Perform(this->cluster->HandleFetchEnd(action.source.host, reply != nullptr, GetNow()));
}

void Daemon::PerformOne(const RelayCall& action) {
  const bool added = this->work->Add([this, action] { this->CallRelay(action); });
  if (!added) {
    this->Perform(this->cluster->HandleRelayFailure(action.data_centre, GetNow()));
  }
}

void Daemon::CallRelay(const RelayCall& action) {
  const auto response =
      this->peers.Call<RelayExchangeReply>(action.address, kRelayExchangePath, action.request);
  const auto* reply = std::get_if<RelayExchangeReply>(&response);
  if (reply == nullptr) {
    this->Perform(this->cluster->HandleRelayFailure(action.data_centre, GetNow()));
    return;
  }
  this->Perform(this->cluster->HandleRelayReply(action.data_centre, *reply, GetNow()));
  if (reply->claim_epoch > this->claims->GetEpoch()) {
    this->claims->FetchMap(action.address);
  }
}

void Daemon::PerformOne(const ClusterMembersChanged& /*action*/) {
  const TimePoint now = GetNow();
  for (const MemberRecord& member : this->cluster->ListMembers()) {
    this->claims->RecordHost(member.host, member.incarnation, GetClaimStatus(member.state), now);
  }
  this->RebuildSnapshot();
}

void Daemon::PerformOne(const ClusterFetchOwnerMap& action) {
  this->work->Add([this, action] { this->claims->FetchMap(action.address); });
}

void Daemon::PerformOne(const ClusterStrikesReceived& action) {
  const std::size_t quarantined = this->services.MergeEvidence(action.strikes, GetNow());
  if (quarantined > 0) {
    EventLog::Write(Event::kRequestQuarantined, "count={}", quarantined);
  }
}

void Daemon::PerformOne(const JoinAskPeer& action) {
  this->work->Add([this, action] {
    const auto response = this->peers.Call<ListMembersReply>(
        action.address, kListMembersPath, ListMembersRequest{this->cluster->GetOwnRecord()});
    const auto* reply = std::get_if<ListMembersReply>(&response);
    if (reply == nullptr) {
      return;
    }
    this->Perform(this->cluster->HandleMembers(*reply, GetNow()));
    if (reply->claim_epoch > this->claims->GetEpoch()) {
      this->claims->FetchMap(action.address);
    }
  });
}

void Daemon::PerformOne(const JoinReadStoreSeeds& /*action*/) {
  this->work->Add([this] {
    const auto reply = this->store->Get({MakeSeedsKey(this->settings.data_centre)});
    SeedList seeds;
    if (IsOk(reply) && Decode(GetValue(reply).entry.value, seeds)) {
      this->cluster->HandleStoreSeeds(seeds.addresses);
    }
  });
}

void Daemon::PerformOne(const JoinReadStoreHead& /*action*/) {
  this->work->Add([this] {
    const auto reply = this->store->Get({kHeadKey});
    if (!IsOk(reply)) {
      return;
    }
    const StoredHead stored = DecodeHead(GetValue(reply).entry);
    const bool newer =
        stored.head.has_value() && IsNewer(stored.head->stamp, this->rules.GetStamp());
    if (newer) {
      Result<RulesVersion> version = ReadVersion(*this->store, *stored.head);
      if (!IsOk(version)) {
        return;
      }
      this->OfferVersion(std::move(GetValue(version)));
    }
    this->cluster->HandleStoreHead();
  });
}

StateDump Daemon::DumpState() {
  StateDump dump;
  dump.host = this->settings.host;
  dump.data_centre = this->settings.data_centre;
  dump.region = this->settings.region;
  dump.incarnation = this->incarnation;
  if (const std::shared_ptr<const RulesVersion> held = this->rules.GetHeld()) {
    dump.held = held->stamp;
    dump.held_operator = held->operator_name;
  }
  dump.watch_scope = this->watcher->GetScope();
  dump.watching = this->watcher->IsWatching();
  dump.store_reachable = this->watcher->IsStoreReachable();
  dump.view_distrusted = this->cluster->IsDistrusted();
  dump.draining = this->draining.load();
  dump.requests_in_flight = this->proxy->CountInFlight();
  dump.members = this->cluster->ListMembers();
  dump.services = this->services.DumpServices(GetNow());
  this->AddRoutes(dump.services);
  dump.progress = this->cluster->ListProgress(GetNow());
  dump.claim_epoch = this->claims->GetEpoch();
  dump.claims_held = this->claims->CountKeys();
  dump.quarantine_entries = this->services.CountQuarantineEntries();
  dump.displaced = this->watcher->ListDisplaced();
  return dump;
}

void Daemon::AddRoutes(std::span<ServiceDump> dumps) const {
  const std::shared_ptr<const RouteSnapshot> snapshot = this->rules.GetSnapshot();
  if (snapshot == nullptr) {
    return;
  }
  for (ServiceDump& dump : dumps) {
    for (const RouteRule& route : snapshot->GetDocument().routes) {
      if (route.service == dump.name) {
        dump.routes.push_back(route.name);
      }
    }
  }
}

std::string Daemon::FormatGauges() {
  const std::vector<MemberRecord> members = this->cluster->ListMembers();
  return fmt::format(
      "lacewingbridge_rules_version {}\nlacewingbridge_members {}\n"
      "lacewingbridge_requests_in_flight {}\nlacewingbridge_watching {}\n"
      "lacewingbridge_store_reachable {}\nlacewingbridge_gossip_bytes_sent {}\n"
      "lacewingbridge_gossip_bytes_received {}\nlacewingbridge_claims {}\n",
      this->rules.GetStamp().number, members.size(), this->proxy->CountInFlight(),
      this->watcher->IsWatching() ? 1 : 0, this->watcher->IsStoreReachable() ? 1 : 0,
      this->gossip->GetBytesSent(), this->gossip->GetBytesReceived(), this->claims->CountKeys());
}

}  // namespace lacewingbridge
