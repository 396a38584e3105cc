#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_WATCHES_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_WATCHES_H_

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "Core/result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Membership/store_position.h"
#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"
#include "Store/lease_store.h"
#include "Store/watch_silence.h"
#include "Store/watch_time.h"
#include "mesh.h"

namespace lacewingbridge {

// The watches of the route table and of the hosts. Starts them again if other daemons know a change
// that they should have returned. Runs on one shard's thread.
template <LeaseStore Client>
class StoreWatches {
 public:
  StoreWatches(IoShard& io_shard, MeshState& mesh_state, Client& store_client)
      : shard(io_shard), state(mesh_state), client(store_client) {}

  // Watches the key of the route table for changes after the revision. `version` is the newest
  // version that the store has returned.
  Awaitable<Result<StoreView>> WatchTable(std::string_view key, std::uint64_t revision,
                                          std::uint64_t version) {
    return this->Watch(key, revision, version, this->table);
  }
  // Watches the records of the hosts for changes after the position.
  Awaitable<Result<StoreView>> WatchHosts(std::string_view prefix, StorePosition position) {
    return this->Watch(prefix, position.revision, position, this->hosts);
  }

  // Has to be called regularly with the state of other daemons.
  void HandlePeerProgress(TimePoint now, const PeerProgress& progress) {
    // The version in force may have come from another daemon.
    this->table.RecordChange(now, std::max(progress.table_version, this->state.GetTableVersion()));
    this->hosts.RecordChange(now, StorePosition{progress.hosts_era, progress.hosts_revision});
    const bool table_silent = this->table.TakeSilence(now);
    const bool hosts_silent = this->hosts.TakeSilence(now);
    if (table_silent) {
      LogSilence("table", this->table.GetWatchedAfter(), this->table.GetNewestChange());
    }
    if (hosts_silent) {
      LogSilence("hosts", this->hosts.GetWatchedAfter().revision,
                 this->hosts.GetNewestChange().revision);
    }
    if (table_silent || hosts_silent) {
      this->client.CancelWatches();
    }
  }

 private:
  // `position` is what the state of other daemons is compared with; see WatchSilence.
  template <typename Position>
  Awaitable<Result<StoreView>> Watch(std::string_view prefix, std::uint64_t revision,
                                     Position position, WatchSilence<Position>& watch) {
    const Duration time = ComputeWatchTime(this->state.GetHosts().size(), this->shard.GetRandom());
    watch.Begin(GetNow(), position);
    Result<StoreView> view = co_await this->client.Watch(prefix, revision, time);
    watch.End();
    co_return view;
  }

  static void LogSilence(std::string_view name, std::uint64_t after, std::uint64_t known) {
    EventLog::Write(Event::kWatchSilent, "watch={} after={} known={}", name, after, known);
  }

  IoShard& shard;
  MeshState& state;
  Client& client;
  WatchSilence<std::uint64_t> table;
  WatchSilence<StorePosition> hosts;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_WATCHES_H_
