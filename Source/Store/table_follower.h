#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_FOLLOWER_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_FOLLOWER_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "Core/result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"
#include "Store/lease_store.h"
#include "Store/store_bounds.h"
#include "Store/store_reach.h"
#include "Store/store_watches.h"
#include "Store/table_offer_log.h"
#include "Store/table_pause.h"
#include "Store/table_source.h"
#include "Workspaces/proof_readers.h"
#include "Workspaces/proof_schedule.h"
#include "Workspaces/restore_hold.h"

namespace lacewingbridge {

// Applies the newest version of the operators' configuration, and proves to the requests of this
// daemon that it is the newest; see TableProof. Runs on one shard's thread.
template <LeaseStore Client, TableSource Source>
class TableFollower {
 public:
  TableFollower(IoShard& io_shard, MeshState& mesh_state, Client& store_client,
                StoreWatches<Client>& store_watches, const StoreBounds& store_bounds)
      : shard(io_shard),
        state(mesh_state),
        client(store_client),
        watches(store_watches),
        bounds(store_bounds) {}

  // Applies versions until End has been called.
  Awaitable<void> Follow() {
    StoreReach reach(this->shard, "follow_table");
    this->reading = true;
    while (!this->ended) {
      if (this->reading) {
        co_await this->FollowByReading(reach);
      } else {
        co_await this->FollowByWatching(reach);
      }
    }
  }

  // Asks for proofs until End has been called. Makes no call while no proof is needed.
  Awaitable<void> Prove() {
    StoreReach reach(this->shard, "prove_table");
    while (!this->ended) {
      const bool needs_proofs = this->state.GetProofBound().has_value();
      co_await this->Pause(needs_proofs ? kProofCheckInterval : kIdleCheckInterval);
      this->LogProofChange();
      if (!this->IsProofDue()) {
        continue;
      }
      const Status asked = co_await this->AskForProof();
      if (IsOk(asked)) {
        reach.RecordReached();
      } else {
        co_await reach.PauseAfterError(GetError(asked));
      }
    }
  }

  void End() { this->ended = true; }

  // Returns the time within which the store is expected to deliver a version that another daemon
  // has now; zero while the store does not respond.
  Duration GetDeliveryTime(TimePoint now) const {
    if (this->reading) {
      return Duration{0};
    }
    return std::max(this->pause_end - now, Duration{0}) + this->transfer * kSharedLinkFactor;
  }

  // Has to be called when the store shows the first era, or a new one. Reads the key again: the
  // store may hold an older version than before, and its revisions do not continue the known ones.
  void HandleNewEra() {
    this->reading = true;
    this->newest.reset();
    this->restore.BeginEra(GetNow());
  }

 private:
  static constexpr Duration kProofCheckInterval = std::chrono::milliseconds(100);
  // While no proofs are needed.
  static constexpr Duration kIdleCheckInterval = std::chrono::milliseconds(500);
  // The shortest watch.
  static constexpr Duration kProofWatchTime = std::chrono::milliseconds(1);

  // A version shares the link with the requests of this host.
  static constexpr int kSharedLinkFactor = 2;

  // The newest state of the key that an answer of the store has shown.
  struct Newest {
    // Revision of the whole store up to which the key has been read.
    std::uint64_t revision = 0;
    // Empty if the key does not exist or its value is unreadable.
    std::optional<std::uint64_t> version;
  };

  Awaitable<void> Pause(Duration pause) {
    asio::steady_timer timer(this->shard.GetContext(), pause);
    ErrorCode code;
    co_await timer.async_wait(AwaitInto(code));
  }

  Awaitable<Result<StoreView>> ReadKey() {
    Result<StoreItem> item = co_await this->client.Get(Source::GetKey());
    if (!IsOk(item)) {
      co_return GetError(item);
    }
    StoreView view;
    view.revision = GetValue(item).revision;
    view.items.push_back(std::move(GetValue(item)));
    co_return view;
  }

  Awaitable<void> FollowByReading(StoreReach& reach) {
    const TimePoint sent = GetNow();
    const Result<StoreView> view = co_await this->ReadKey();
    if (!IsOk(view)) {
      co_await this->HandleFailure(reach, GetError(view));
      co_return;
    }
    reach.RecordReached();
    this->Apply(GetValue(view));
    this->RecordProof(sent, GetValue(view));
    this->known = GetValue(view).revision;
    this->reading = false;
  }

  Awaitable<void> FollowByWatching(StoreReach& reach) {
    const std::uint64_t era = this->client.GetEra();
    const Result<StoreView> view =
        co_await this->watches.WatchTable(Source::GetKey(), this->known, this->version);
    if (era != this->client.GetEra()) {
      co_return;
    }
    if (!IsOk(view)) {
      co_await this->HandleFailure(reach, GetError(view));
      co_return;
    }
    reach.RecordReached();
    const std::size_t bytes = this->Apply(GetValue(view));
    this->known = std::max(this->known, GetValue(view).revision);
    this->reading = false;
    if (bytes > 0) {
      this->restore.RecordWrite();
      const Duration pause =
          ComputeTablePause(bytes, this->bounds.link_bytes_per_second, this->bounds.table_bound);
      this->transfer = ComputeTableTransfer(bytes, this->bounds.link_bytes_per_second);
      this->pause_end = GetNow() + pause;
      co_await this->Pause(pause);
    }
  }

  // Reading the key returns any version that was missed.
  Awaitable<void> HandleFailure(StoreReach& reach, const Error& error) {
    this->reading = true;
    if (error.kind != ErrorKind::kStoreHistoryGone) {
      co_await reach.PauseAfterError(error);
    }
  }

  // Returns the version of the item, also of one that is not applied.
  std::optional<std::uint64_t> ApplyItem(const StoreItem& item) {
    if (!item.value.has_value()) {
      return std::nullopt;
    }
    Result<RouteTable> decoded = Source::Decode(*item.value);
    if (!IsOk(decoded)) {
      EventLog::Write(Event::kTableRejected, "revision={} reason=\"{}\"", item.revision,
                      GetError(decoded).GetMessage());
      return std::nullopt;
    }
    const std::uint64_t found = GetValue(decoded).version;
    this->version = std::max(this->version, found);
    OfferAndLog(this->state, std::move(GetValue(decoded)), "store");
    return found;
  }

  // Applies the items of the key. Returns the bytes of their values.
  std::size_t Apply(const StoreView& view) {
    std::size_t bytes = 0;
    const bool is_newest = !this->newest.has_value() || view.revision >= this->newest->revision;
    if (is_newest) {
      this->newest =
          Newest{view.revision, this->newest.has_value() ? this->newest->version : std::nullopt};
    }
    for (const StoreItem& item : view.items) {
      if (item.key != Source::GetKey()) {
        continue;
      }
      bytes += item.value.has_value() ? item.value->size() : 0;
      const std::optional<std::uint64_t> found = this->ApplyItem(item);
      if (is_newest) {
        this->newest->version = found;
      }
    }
    return bytes;
  }

  // Records that the call of this answer was sent at the time. The answer has been applied.
  void RecordProof(TimePoint sent, const StoreView& view) {
    if (this->newest.has_value() && view.revision == this->newest->revision &&
        this->newest->version.has_value() &&
        this->restore.IsOver(sent, this->state.GetProofBound().value_or(Duration{0}))) {
      this->state.RecordNewestVersion(sent, *this->newest->version);
    }
  }

  bool IsProofDue() {
    this->proof_requested = this->state.TakeProofRequest() || this->proof_requested;
    const std::optional<Duration> bound = this->state.GetProofBound();
    // Follow proves the version when it reads the key.
    if (!bound.has_value() || this->reading || !this->restore.IsOver(GetNow(), *bound)) {
      return false;
    }
    if (!this->schedule.has_value() || this->schedule->GetBound() != *bound) {
      this->schedule.emplace(*bound);
    }
    if (this->schedule->NeedsDraw()) {
      this->schedule->Draw(this->IsProofReader(), this->shard.GetRandom());
    }
    return this->schedule->IsDue(GetNow(), this->state.GetProvenAt(), this->proof_requested);
  }

  bool IsProofReader() const {
    const std::vector<HostRecord> hosts = this->state.GetHosts();
    const std::vector<HostRecord> readers = ChooseProofReaders(hosts);
    return std::any_of(readers.begin(), readers.end(), [this](const HostRecord& reader) {
      return reader.host == this->state.GetIdentity().host;
    });
  }

  // Watches the key for a moment. An answer without changes shows that the key was not written
  // between the known revision and that of the answer, and is much shorter than the configuration.
  Awaitable<Status> AskForProof() {
    TimePoint sent = GetNow();
    const std::uint64_t era = this->client.GetEra();
    this->schedule->RecordAsked(sent);
    Result<StoreView> view = StoreView();
    if (this->newest.has_value()) {
      view = co_await this->client.Watch(Source::GetKey(), this->newest->revision, kProofWatchTime);
      if (!IsOk(view) && GetError(view).kind == ErrorKind::kStoreHistoryGone) {
        this->newest.reset();
      }
    }
    if (!this->newest.has_value()) {
      sent = GetNow();
      view = co_await this->ReadKey();
    }
    if (!IsOk(view)) {
      co_return GetError(view);
    }
    this->proof_requested = false;
    if (era == this->client.GetEra()) {
      this->Apply(GetValue(view));
      this->RecordProof(sent, GetValue(view));
    }
    co_return MakeOkStatus();
  }

  void LogProofChange() {
    const TimePoint now = GetNow();
    const bool proven = this->state.GetProofAge(now).has_value();
    if (proven == this->was_proven || (!proven && !this->state.GetProofBound().has_value())) {
      return;
    }
    this->was_proven = proven;
    const std::optional<TimePoint> proven_at = this->state.GetProvenAt();
    EventLog::Write(proven ? Event::kProofGained : Event::kProofExpired, "version={} age_ms={}",
                    this->state.GetTableVersion(),
                    proven_at.has_value() ? CountMilliseconds(now - *proven_at) : -1);
  }

  IoShard& shard;
  MeshState& state;
  Client& client;
  StoreWatches<Client>& watches;
  const StoreBounds bounds;
  // Revision after which Follow watches the key, unless it has to read the key first.
  std::uint64_t known = 0;
  bool reading = true;
  // End of the pause after the last version, and how long that version took on the link alone.
  TimePoint pause_end;
  Duration transfer{0};
  // Newest version that the store has returned to this daemon.
  std::uint64_t version = 0;
  std::optional<Newest> newest;
  RestoreHold restore;
  std::optional<ProofSchedule> schedule;
  bool proof_requested = false;
  bool was_proven = false;
  bool ended = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_FOLLOWER_H_
