#include "Daemon/store_watcher.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "Daemon/claim_service.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/rules_state.h"
#include "Daemon/store_records.h"
#include "Observe/event_log.h"
#include "Version/version_order.h"
#include "peer_codec.h"
#include "store_codec.h"

namespace lacewingbridge {

namespace {

// Longest time that one watch call stays open. A long wait keeps the number of calls low,
// since each renewal of a watch counts as a store call.
constexpr std::uint32_t kWatchWaitMs = 30000;
constexpr Duration kDutyInterval = std::chrono::seconds(1);
constexpr Duration kSeedsInterval = std::chrono::seconds(30);
// Time for which the other data centres of a region wait for the first one to deliver a
// version before they read its body from the store themselves.
constexpr Duration kSiblingWait = std::chrono::seconds(1);
constexpr Duration kInitialRepairBackoff = std::chrono::milliseconds(200);
constexpr Duration kMaxRepairBackoff = std::chrono::seconds(10);
constexpr Duration kWatchRetry = std::chrono::seconds(1);

std::optional<WatchHolder> DecodeHolder(const StoreEntry& entry) {
  WatchHolder holder;
  if (entry.revision == 0 || !Decode(entry.value, holder)) {
    return std::nullopt;
  }
  return holder;
}

WatchElectionSettings MakeElectionSettings(const Settings& settings, const std::string& scope) {
  WatchElectionSettings election;
  election.scope = scope;
  election.host = settings.host;
  election.lease = std::chrono::milliseconds(settings.watch_lease_ms);
  return election;
}

}  // namespace

StoreWatcher::StoreWatcher(const Settings& given, std::string watch_scope, StoreHttpClient& client,
                           RulesState& rules_state, ClaimService& claim_service, Hooks given_hooks)
    : settings(given),
      scope(std::move(watch_scope)),
      store(client),
      rules(rules_state),
      claims(claim_service),
      hooks(std::move(given_hooks)),
      election_random(std::random_device{}()),
      repair_random(std::random_device{}()),
      repair(kInitialRepairBackoff, kMaxRepairBackoff) {}

StoreWatcher::~StoreWatcher() { this->Stop(); }

void StoreWatcher::Start() {
  this->election_thread = std::thread([this] { this->RunElection(); });
  this->head_thread = std::thread([this] { this->RunHeadWatch(); });
}

void StoreWatcher::Stop() {
  {
    const std::lock_guard guard(this->mutex);
    this->stopped = true;
  }
  this->changed.notify_all();
  this->store.Cancel();
  if (this->election_thread.joinable()) {
    this->election_thread.join();
    this->head_thread.join();
  }
}

void StoreWatcher::NotifyHeld() {
  const std::lock_guard guard(this->mutex);
  this->changed.notify_all();
}

bool StoreWatcher::IsWatching() {
  const std::lock_guard guard(this->mutex);
  return GetNow() < this->acting_until;
}

std::vector<DisplacedVersion> StoreWatcher::ListDisplaced() {
  const std::lock_guard guard(this->mutex);
  return this->displaced;
}

bool StoreWatcher::IsStopped() {
  const std::lock_guard guard(this->mutex);
  return this->stopped;
}

bool StoreWatcher::SleepUntil(TimePoint time) {
  std::unique_lock lock(this->mutex);
  return !this->changed.wait_until(lock, ToSteadyTime(time), [this] { return this->stopped; });
}

bool StoreWatcher::WaitForVersion(const VersionStamp& stamp, Duration limit) {
  const auto until = ToSteadyTime(GetNow() + limit);
  std::unique_lock lock(this->mutex);
  return this->changed.wait_until(
      lock, until, [&] { return this->stopped || !IsNewer(stamp, this->rules.GetStamp()); });
}

void StoreWatcher::RecordStoreCall(bool responded) {
  // Calls that a shutdown aborts do not show whether the store is reachable.
  if (!this->IsStopped() && this->store_reachable.exchange(responded) != responded) {
    EventLog::Write(responded ? Event::kStoreReached : Event::kStoreUnreachable, "store={}",
                    this->settings.store_address);
  }
}

void StoreWatcher::SetActing(const WatchDecision& decision) {
  const TimePoint now = GetNow();
  bool was_acting = false;
  bool is_acting = false;
  {
    const std::lock_guard guard(this->mutex);
    was_acting = now < this->acting_until;
    this->acting_until = decision.acting ? decision.acting_until : TimePoint{};
    is_acting = now < this->acting_until;
  }
  if (was_acting != is_acting) {
    EventLog::Write(is_acting ? Event::kWatchStarted : Event::kWatchEnded, "scope={}", this->scope);
    this->changed.notify_all();
  }
}

void StoreWatcher::RunElection() {
  WatchElection election(MakeElectionSettings(this->settings, this->scope), GetNow(),
                         this->election_random);
  bool members_reported = false;
  std::vector<WatchMember> members;
  std::optional<WatchEvent> call_result;
  while (!this->IsStopped()) {
    const WatchEvent event =
        call_result.has_value() ? *call_result : this->NextEvent(members_reported, members);
    const WatchDecision decision = election.Handle(event, GetNow(), this->election_random);
    this->SetActing(decision);
    call_result.reset();
    if (!std::holds_alternative<WatchNoCall>(decision.call)) {
      call_result = this->PerformCall(decision.call);
      continue;
    }
    if (!members_reported) {
      members_reported = true;
      continue;
    }
    this->PerformDuties(decision.acting);
    this->SleepUntil(std::min(decision.wake_at, GetNow() + kDutyInterval));
    members_reported = false;
  }
}

WatchEvent StoreWatcher::NextEvent(bool members_reported, std::vector<WatchMember>& members) {
  if (!members_reported) {
    members = this->hooks.list_members();
    return WatchMembersChanged{members};
  }
  return this->TakeHolderSuspicion() ? WatchEvent(WatchHolderSuspected{})
                                     : WatchEvent(WatchTimePassed{});
}

void StoreWatcher::RecordHolderSuspicion() {
  const std::lock_guard guard(this->mutex);
  this->holder_suspected = true;
}

bool StoreWatcher::TakeHolderSuspicion() {
  const std::lock_guard guard(this->mutex);
  return std::exchange(this->holder_suspected, false);
}

void StoreWatcher::PerformDuties(bool acting) {
  if (!acting) {
    this->owners_revision.reset();
    return;
  }
  this->MaintainOwnerMap();
  this->MaintainSeeds();
}

WatchEvent StoreWatcher::PerformCall(const WatchCall& call) {
  return std::visit([this](const auto& one) { return this->Perform(one); }, call);
}

WatchEvent StoreWatcher::Perform(const WatchNoCall& /*call*/) { return WatchTimePassed{}; }

WatchEvent StoreWatcher::Perform(const WatchReadKey& /*call*/) {
  const auto reply = this->store.Get({MakeWatchKey(this->scope)});
  this->RecordStoreCall(IsOk(reply));
  if (!IsOk(reply)) {
    return WatchCallFailed{};
  }
  const StoreEntry& entry = GetValue(reply).entry;
  return WatchKeyRead{DecodeHolder(entry), entry.revision};
}

WatchEvent StoreWatcher::Perform(const WatchGrantLease& call) {
  return this->Perform(WatchRenewLease{0, call.duration});
}

WatchEvent StoreWatcher::Perform(const WatchRenewLease& call) {
  StoreLeaseRequest request;
  request.lease_id = call.lease_id;
  request.duration_ms = static_cast<std::uint32_t>(CountMilliseconds(call.duration));
  const auto reply = this->store.Lease(request);
  this->RecordStoreCall(IsOk(reply));
  if (!IsOk(reply)) {
    return WatchCallFailed{};
  }
  return WatchLeaseReplied{GetValue(reply).granted, GetValue(reply).lease_id};
}

WatchEvent StoreWatcher::Perform(const WatchSwapKey& call) {
  StoreSwapRequest request;
  request.key = MakeWatchKey(this->scope);
  request.value = Encode(call.holder);
  request.expected_revision = call.expected_revision;
  request.lease_id = call.holder.lease_id;
  const auto reply = this->store.Swap(request);
  this->RecordStoreCall(IsOk(reply));
  if (!IsOk(reply)) {
    return WatchCallFailed{};
  }
  return WatchKeySwapped{GetValue(reply).succeeded, DecodeHolder(GetValue(reply).entry)};
}

void StoreWatcher::RunHeadWatch() {
  std::uint64_t known_revision = 0;
  bool first = true;
  while (!this->IsStopped()) {
    if (!this->IsWatching()) {
      first = true;
      std::unique_lock lock(this->mutex);
      this->changed.wait_until(lock, ToSteadyTime(GetNow() + kDutyInterval),
                               [this] { return this->stopped || GetNow() < this->acting_until; });
      continue;
    }
    // A new watcher reads the head without waiting, since its held version may be outdated.
    StoreWatchRequest request;
    request.key = kHeadKey;
    request.known_revision = known_revision;
    request.wait_ms = first ? 0 : kWatchWaitMs;
    const auto reply = this->store.Watch(request);
    this->RecordStoreCall(IsOk(reply));
    if (!IsOk(reply)) {
      this->SleepUntil(GetNow() + kWatchRetry);
      continue;
    }
    const StoreEntry& entry = GetValue(reply).entry;
    // The head is handled even when it did not change, because since the last read this daemon
    // may have received a newer version than the store has. No store call is made if both agree.
    this->HandleHead(DecodeHead(entry));
    known_revision = entry.revision;
    first = false;
  }
}

void StoreWatcher::HandleHead(const StoredHead& stored) {
  std::optional<RepairEvent> event = RepairHeadRead{stored};
  while (event.has_value() && !this->IsStopped()) {
    const RepairAction action =
        this->repair.Handle(*event, this->rules.GetHeld(), GetNow(), this->repair_random);
    event = this->PerformRepair(action);
  }
}

std::optional<RepairEvent> StoreWatcher::PerformRepair(const RepairAction& action) {
  return std::visit([this](const auto& one) { return this->Repair(one); }, action);
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairNothing& /*action*/) {
  return std::nullopt;
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairFetch& action) {
  const RulesHead& head = action.head;
  if (head.delta.has_value() && this->hooks.offer_delta(*head.delta)) {
    return std::nullopt;
  }
  if (this->hooks.has_first_sibling() && this->WaitForVersion(head.stamp, kSiblingWait)) {
    return std::nullopt;
  }
  Result<RulesVersion> version = ReadVersion(this->store, head);
  if (!IsOk(version)) {
    EventLog::Write(Event::kStoreUnreachable, "{}", GetError(version).GetMessage());
    return RepairCallFailed{};
  }
  this->hooks.offer(std::move(GetValue(version)));
  return std::nullopt;
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairWriteBody& action) {
  EventLog::Write(Event::kStoreOlder, "number={}", action.version->stamp.number);
  const bool written =
      WriteOnce(this->store, MakeBodyKey(action.version->stamp.digest), action.version->text);
  return written ? RepairEvent(RepairKeyWritten{}) : RepairEvent(RepairCallFailed{});
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairRecordDisplaced& action) {
  if (!WriteOnce(this->store, MakeDisplacedKey(action.head.stamp), Encode(action.head))) {
    return RepairCallFailed{};
  }
  const std::lock_guard guard(this->mutex);
  this->displaced.push_back({action.head.stamp, action.head.operator_name});
  return RepairKeyWritten{};
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairSwapHead& action) {
  StoreSwapRequest request;
  request.key = kHeadKey;
  request.value = Encode(action.head);
  request.expected_revision = action.expected_revision;
  const auto reply = this->store.Swap(request);
  if (!IsOk(reply)) {
    return RepairCallFailed{};
  }
  return RepairSwapReplied{GetValue(reply).succeeded, DecodeHead(GetValue(reply).entry)};
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairReadHead& /*action*/) {
  const auto reply = this->store.Get({kHeadKey});
  if (!IsOk(reply)) {
    return RepairCallFailed{};
  }
  return RepairHeadRead{DecodeHead(GetValue(reply).entry)};
}

std::optional<RepairEvent> StoreWatcher::Repair(const RepairWaitUntil& action) {
  if (!this->SleepUntil(action.time)) {
    return std::nullopt;
  }
  return RepairTimePassed{};
}

void StoreWatcher::MaintainOwnerMap() {
  if (!this->owners_revision.has_value()) {
    const auto reply = this->store.Get({kOwnersKey});
    if (!IsOk(reply)) {
      return;
    }
    const StoreEntry& entry = GetValue(reply).entry;
    this->owners_revision = entry.revision;
    ClaimOwnerMap stored;
    if (entry.revision != 0 && Decode(entry.value, stored)) {
      this->claims.AdoptMap(stored, GetNow());
    }
    if (stored.epoch < this->claims.GetEpoch()) {
      // The store has lost state. The newer map is written back, because owners must never see
      // two different maps of the same epoch.
      this->WriteOwnerMap(this->claims.HandleOwnerMapRequest({stored.epoch}));
      return;
    }
  }
  const std::optional<ClaimOwnerMap> next =
      this->claims.Propose(*this->owners_revision == 0, GetNow());
  if (next.has_value()) {
    this->WriteOwnerMap(*next);
  }
}

void StoreWatcher::WriteOwnerMap(const ClaimOwnerMap& map) {
  StoreSwapRequest request;
  request.key = kOwnersKey;
  request.value = Encode(map);
  request.expected_revision = *this->owners_revision;
  const auto reply = this->store.Swap(request);
  this->owners_revision.reset();
  if (IsOk(reply) && GetValue(reply).succeeded) {
    this->owners_revision = GetValue(reply).entry.revision;
    this->claims.AdoptMap(map, GetNow());
  }
}

void StoreWatcher::MaintainSeeds() {
  const TimePoint now = GetNow();
  if (now < this->next_seeds) {
    return;
  }
  this->next_seeds = now + kSeedsInterval;
  auto lists = this->hooks.list_seeds();
  if (lists == this->written_seeds) {
    return;
  }
  for (const auto& [data_centre, addresses] : lists) {
    const std::string key = MakeSeedsKey(data_centre);
    const auto current = this->store.Get({key});
    if (!IsOk(current)) {
      return;
    }
    StoreSwapRequest request;
    request.key = key;
    request.value = Encode(SeedList{addresses});
    request.expected_revision = GetValue(current).entry.revision;
    if (GetValue(current).entry.value != request.value && !IsOk(this->store.Swap(request))) {
      return;
    }
  }
  this->written_seeds = std::move(lists);
}

}  // namespace lacewingbridge
