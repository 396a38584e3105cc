#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_SYNC_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_SYNC_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/result.h"
#include "Http/async_signal.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Membership/store_position.h"
#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"
#include "Proxy/target_gate.h"
#include "Store/host_records.h"
#include "Store/hosts_pause.h"
#include "Store/lease_store.h"
#include "Store/renewal_pause.h"
#include "Store/store_bounds.h"
#include "Store/store_reach.h"
#include "Store/store_watches.h"
#include "Store/table_follower.h"
#include "Store/table_source.h"
#include "mesh_codec.h"

namespace lacewingbridge {

// A call that the store confirmed while this host's lease was alive.
struct LeaseProof {
  TimePoint sent_at;
  std::uint64_t lease = 0;
  Duration lease_time{0};
};

// Synchronises this daemon with the store: applies the newest route table and the list of hosts,
// and lists this host under a lease. Runs on one shard's thread.
template <LeaseStore Client, TableSource Source>
class StoreSync {
 public:
  StoreSync(IoShard& io_shard, MeshState& mesh_state, TargetGate& target_gate, Client& store_client,
            const StoreBounds& store_bounds)
      : shard(io_shard),
        state(mesh_state),
        gate(target_gate),
        client(store_client),
        lease_time(std::max(store_bounds.min_lease, kLeaseTime)),
        record_changed(io_shard.GetContext()),
        watches(io_shard, mesh_state, store_client),
        table(io_shard, mesh_state, store_client, this->watches, store_bounds) {}

  void Start() {
    this->client.SetEraListener([this] { this->HandleNewEra(); });
    this->Spawn(&StoreSync::FollowTable);
    this->Spawn(&StoreSync::ProveTable);
    this->Spawn(&StoreSync::FollowHosts);
    this->Spawn(&StoreSync::MaintainRecord);
  }

  // Called with each proof, and with null before this daemon ends its lease.
  using LeaseListener = std::function<void(const LeaseProof*)>;
  void SetLeaseListener(const LeaseListener& listener) { this->on_lease = listener; }
  // Called if the store still listed an earlier process of this host that granted credit, with the
  // time at which the list was asked for.
  using EarlierRecordListener = std::function<void(TimePoint)>;
  void SetEarlierRecordListener(const EarlierRecordListener& listener) {
    this->on_earlier_record = listener;
  }
  // Tells whether the record under the lease says that this daemon grants credit.
  using GrantsCheck = std::function<bool(std::uint64_t)>;
  void SetGrantsCheck(const GrantsCheck& check) { this->check_grants = check; }

  // Applies to the next lease.
  void SetMinLease(Duration min_lease) { this->lease_time = std::max(min_lease, kLeaseTime); }

  // Has to be called when the state of the local target changes or this daemon starts to stop, on
  // the shard's thread.
  void OnRecordChanged() { this->record_changed.Notify(); }

  // Has to be called regularly with the state of other daemons, on the shard's thread; see
  // StoreWatches.
  void HandlePeerProgress(TimePoint now, const PeerProgress& progress) {
    this->watches.HandlePeerProgress(now, progress);
  }

  // See TableFollower.
  Duration GetTableDeliveryTime(TimePoint now) const { return this->table.GetDeliveryTime(now); }

  // Has to be called when this daemon stops. Removes a host that goes away from the list, unless
  // the store is unreachable. The record of one that stays is left to its lease: the next process
  // finds it and may grant credit at once.
  void Leave(bool host_stays) {
    this->record_changed.Notify();
    if (!host_stays) {
      this->ended = true;
      this->table.End();
      this->Spawn(&StoreSync::EndLease);
    }
  }

 private:
  static constexpr std::string_view kHostPrefix = "lacewingbridge/hosts/";
  // Maximum wait for the target's state before this host is listed. A record that is written and
  // then changed at once would wake up every daemon twice. Until the host is listed, other daemons
  // send no work to the target.
  static constexpr Duration kMaxTargetWait = std::chrono::milliseconds(500);
  // A host that loses power disappears from the list after this time.
  static constexpr Duration kLeaseTime = std::chrono::seconds(4);

  // Time between the record that says that this host accepts no work and its removal.
  static constexpr Duration kLeaveNotice = std::chrono::seconds(1);

  void Spawn(Awaitable<void> (StoreSync::*loop)()) {
    asio::co_spawn(
        this->shard.GetContext(), [this, loop]() -> Awaitable<void> { co_await (this->*loop)(); },
        asio::detached);
  }

  Awaitable<void> Pause(Duration pause) {
    asio::steady_timer timer(this->shard.GetContext(), pause);
    ErrorCode code;
    co_await timer.async_wait(AwaitInto(code));
  }

  Awaitable<void> FollowTable() { return this->table.Follow(); }
  Awaitable<void> ProveTable() { return this->table.Prove(); }

  // The store was restored from a copy. Its revisions and leases do not continue the known ones,
  // and the lease of this host may be given to another one.
  void HandleNewEra() {
    const std::uint64_t before = std::exchange(this->era, this->client.GetEra());
    this->table.HandleNewEra();
    if (before == 0) {
      return;
    }
    EventLog::Write(Event::kStoreEraChanged, "era={} before={} lease={}", this->era, before,
                    this->lease);
    this->lease = 0;
    this->written.reset();
    this->on_lease(nullptr);
    this->record_changed.Notify();
    this->client.CancelWatches();
  }

  std::string GetOwnKey() const {
    return std::string(kHostPrefix) + this->state.GetIdentity().host;
  }

  HostRecord MakeOwnRecord() {
    HostRecord record = MakeHostRecord(this->state.GetIdentity(), this->gate);
    record.grants = this->check_grants(this->lease);
    return record;
  }

  void ApplyHostChanges(const StoreView& view) {
    for (const StoreItem& item : view.items) {
      if (item.value.has_value()) {
        if (const std::optional<HostRecord> record = ReadHostRecord(item, this->era, kHostPrefix)) {
          this->state.MergeHost(GetNow(), *record);
        } else {
          this->CheckOwnRecord(item.key != this->GetOwnKey());
        }
      } else {
        this->state.RemoveHost(GetNow(), item.key.substr(kHostPrefix.size()));
        this->CheckOwnRecord(item.key != this->GetOwnKey());
      }
    }
  }

  // `sent` is when the list was asked for.
  void ApplyHostList(const StoreView& view, TimePoint sent) {
    std::vector<HostRecord> records;
    bool own_listed = false;
    for (const StoreItem& item : view.items) {
      std::optional<HostRecord> record = ReadHostRecord(item, this->era, kHostPrefix);
      if (item.key == this->GetOwnKey()) {
        own_listed = record.has_value();
        this->ApplyEarlierRecord(record, sent);
      }
      if (record.has_value()) {
        records.push_back(std::move(*record));
      }
    }
    this->state.ReplaceHosts(GetNow(), records);
    this->CheckOwnRecord(own_listed);
    this->hosts_read = true;
    this->record_changed.Notify();
  }

  // Applies the target's state from the record of an earlier process of this host. That process may
  // have acknowledged that the target leaves.
  void ApplyEarlierRecord(const std::optional<HostRecord>& record, TimePoint sent) {
    if (this->hosts_read || !record.has_value()) {
      return;
    }
    if (record->grants) {
      this->on_earlier_record(sent);
    }
    if (record->target.has_value()) {
      this->gate.HandleStoredRecord(GetNow(), *record->target);
    }
  }

  // Makes MaintainRecord write the record again if the store no longer lists this host, or another
  // writer has replaced the record by one that cannot be read.
  void CheckOwnRecord(bool listed) {
    if (!listed && this->written.has_value()) {
      EventLog::Write(Event::kLeaseLost, "lease={} cause=record_removed", this->lease);
      this->written.reset();
      this->record_changed.Notify();
    }
  }

  Awaitable<void> FollowHosts() {
    StoreReach reach(this->shard, "follow_hosts");
    std::optional<StorePosition> known;
    while (!this->ended) {
      const bool listing = !known.has_value();
      const TimePoint sent = GetNow();
      Result<StoreView> view = StoreView();
      if (listing) {
        view = co_await this->client.List(kHostPrefix);
      } else {
        view = co_await this->watches.WatchHosts(kHostPrefix, *known);
      }
      if (!listing && known->era != this->era) {
        known.reset();
        continue;
      }
      if (!IsOk(view)) {
        if (GetError(view).kind == ErrorKind::kStoreHistoryGone) {
          EventLog::Write(Event::kStoreHistoryGone, "after={}",
                          known.value_or(StorePosition{}).revision);
          known.reset();
        } else {
          co_await reach.PauseAfterError(GetError(view));
        }
        continue;
      }
      reach.RecordReached();
      known = StorePosition{this->era, GetValue(view).revision};
      if (listing) {
        this->ApplyHostList(GetValue(view), sent);
      } else {
        this->ApplyHostChanges(GetValue(view));
      }
      if (!GetValue(view).items.empty()) {
        const Duration pause =
            ComputeHostsPause(this->state.GetHosts().size(), GetNow() - this->started_at);
        co_await this->Pause(pause);
      }
    }
  }

  // Ends the lease. Other daemons keep using a host for a while after it disappears from the list,
  // so the record first says that this host accepts no work.
  Awaitable<void> EndLease() {
    if (this->lease == 0) {
      co_return;
    }
    const std::string key = this->GetOwnKey();
    const std::string value = Encode(this->MakeOwnRecord());
    Status status = co_await this->client.Write(key, value, this->lease);
    co_await this->Pause(kLeaveNotice);
    this->on_lease(nullptr);
    // No lease is left after a new era.
    if (IsOk(status) && this->lease != 0) {
      status = co_await this->client.EndLease(this->lease);
    }
    if (!IsOk(status)) {
      EventLog::Write(Event::kStoreUnreachable, "call=end_lease reason=\"{}\"",
                      GetError(status).detail);
    }
  }

  Awaitable<Status> EnsureLease() {
    if (this->lease != 0) {
      co_return MakeOkStatus();
    }
    const Result<std::uint64_t> granted = co_await this->client.GrantLease(this->lease_time);
    if (!IsOk(granted)) {
      co_return GetError(granted);
    }
    this->lease = GetValue(granted);
    this->held_lease_time = this->lease_time;
    this->written.reset();
    EventLog::Write(Event::kLeaseGranted, "lease={}", this->lease);
    co_return MakeOkStatus();
  }

  // Renews the lease, or writes the record if it has changed.
  Awaitable<Status> RenewOrWrite() {
    Status status = co_await this->EnsureLease();
    if (!IsOk(status)) {
      co_return status;
    }
    HostRecord record = this->MakeOwnRecord();
    const LeaseProof proof{GetNow(), this->lease, this->held_lease_time};
    if (this->written == record) {
      status = co_await this->client.RenewLease(this->lease);
    } else {
      const std::string key = this->GetOwnKey();
      const std::string value = Encode(record);
      status = co_await this->client.Write(key, value, this->lease);
      // A new era has ended the lease.
      if (IsOk(status) && this->lease == proof.lease) {
        this->written = std::move(record);
      }
    }
    if (!IsOk(status) && GetError(status).kind == ErrorKind::kLeaseEnded) {
      EventLog::Write(Event::kLeaseLost, "lease={} cause=lease_ended", this->lease);
      this->lease = 0;
      this->written.reset();
    }
    if (IsOk(status) && !this->ended && this->lease == proof.lease) {
      this->on_lease(&proof);
    }
    co_return status;
  }

  // Waits until the list of hosts has been read, because it contains the record of an earlier
  // process of this host, and then for up to kMaxTargetWait until the target's state is known.
  Awaitable<void> WaitBeforeListing() {
    const TimePoint until = GetNow() + kMaxTargetWait;
    while (!this->ended && (!this->hosts_read || (GetNow() < until && !this->IsTargetKnown()))) {
      co_await this->record_changed.WaitFor(kMaxTargetWait);
    }
  }

  bool IsTargetKnown() {
    const LocalTargetRecord target = this->gate.MakeRecord();
    return target.accepting && target.born_unix_ms > 0;
  }

  // That this daemon grants is written with the next renewal. Written at once, it would wake up
  // every daemon a second time when a daemon starts.
  bool IsRecordWritten() {
    HostRecord record = this->MakeOwnRecord();
    record.grants = this->written.has_value() && this->written->grants;
    return this->written == record;
  }

  // Waits until the renewal is due or the record has changed. The target announces itself
  // continually, and an announcement that leaves the record unchanged does not end the wait.
  Awaitable<void> WaitForRenewal(TimePoint due) {
    while (!this->ended && this->IsRecordWritten() && GetNow() < due) {
      co_await this->record_changed.WaitFor(due - GetNow());
    }
  }

  Awaitable<void> MaintainRecord() {
    StoreReach reach(this->shard, "keep_record");
    co_await this->WaitBeforeListing();
    while (!this->ended) {
      const Status status = co_await this->RenewOrWrite();
      if (IsOk(status)) {
        if (reach.RecordReached()) {
          // The outage may have lost the event that a pending watch waits for.
          this->client.CancelWatches();
        }
        co_await this->WaitForRenewal(
            GetNow() + ComputeRenewalPause(this->lease_time, this->shard.GetRandom()));
      } else if (GetError(status).kind != ErrorKind::kLeaseEnded) {
        co_await reach.PauseAfterError(GetError(status));
      }
    }
  }

  IoShard& shard;
  MeshState& state;
  TargetGate& gate;
  Client& client;
  Duration lease_time;
  // Of the lease that this daemon holds.
  Duration held_lease_time{0};
  LeaseListener on_lease = [](const LeaseProof*) {};
  EarlierRecordListener on_earlier_record = [](TimePoint) {};
  GrantsCheck check_grants = [](std::uint64_t) { return false; };
  AsyncSignal record_changed;
  const TimePoint started_at = GetNow();
  StoreWatches<Client> watches;
  TableFollower<Client, Source> table;
  // Newest era of the store; 0 if it states none.
  std::uint64_t era = 0;
  std::uint64_t lease = 0;
  // The record that the store holds under the lease.
  std::optional<HostRecord> written;
  // Whether the list of hosts has been read at least once.
  bool hosts_read = false;
  bool ended = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_SYNC_H_
