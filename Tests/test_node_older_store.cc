// Guards against daemons that keep to the positions, leases and versions of a store that was
// restored from an older copy.

#include <string>
#include <vector>

#include "Fakes/fake_lease_store.h"
#include "Fakes/fake_table_source.h"
#include "Http/io_shard.h"
#include "Proxy/mesh_state.h"
#include "Proxy/target_gate.h"
#include "Store/store_sync.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr char kOwnKey[] = "lacewingbridge/hosts/h1";
constexpr char kOtherKey[] = "lacewingbridge/hosts/h2";

std::string MakeTable(std::uint64_t version) {
  RouteTable table;
  table.version = version;
  table.workspaces.push_back({"acme", {}, std::nullopt, 0, 0});
  return Encode(table);
}

std::string MakeOther(const std::string& peer_address) {
  HostRecord record;
  record.host = "h2";
  record.peer_address = peer_address;
  return Encode(record);
}

// The part of a daemon that synchronises with the store, and its shard.
class SyncedDaemon {
 public:
  SyncedDaemon()
      : state({"h1", "a1", "a", "127.0.0.1:1", "book", "127.0.0.1:2"}, {}),
        gate("book", 0),
        client(this->shard, ""),
        sync(this->shard, this->state, this->gate, this->client,
             {milliseconds(100), milliseconds(200), 0}) {
    this->state.SetRevokeBound(kBound);
    this->sync.Start();
  }

  void RunFor(Duration time) { this->shard.GetContext().run_for(time); }
  bool IsProven() const { return this->state.IsTableProven(GetNow()); }
  // The address of the other host that this daemon knows.
  std::string GetOtherAddress() const {
    for (const HostRecord& host : this->state.GetHosts()) {
      if (host.host == "h2") {
        return host.peer_address;
      }
    }
    return {};
  }

  static constexpr Duration kBound = seconds(2);

  IoShard shard{1};
  MeshState state;
  TargetGate gate;
  FakeStoreClient client;
  StoreSync<FakeStoreClient, FakeTableSource> sync;
};

// Starts the daemon on a store with version 5, saves a copy of the store, and makes the store go on
// for a while.
void Prepare(SyncedDaemon& daemon, std::uint64_t newest_version) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  store.SetEra(3);
  store.SaveCopy();
  store.Put("table", MakeTable(5));
  store.SaveCopy();
  daemon.RunFor(milliseconds(700));
  for (int i = 0; i < 20; ++i) {
    store.Put(kOtherKey, MakeOther("127.0.0.1:9"));
  }
  store.Put("table", MakeTable(newest_version));
  daemon.RunFor(milliseconds(2500));
  cr_assert_eq(daemon.GetOtherAddress(), "127.0.0.1:9");
  cr_assert_eq(daemon.state.GetTableVersion(), newest_version);
}

}  // namespace

Test(older_store, records_of_the_new_era_replace_those_with_higher_revisions) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  SyncedDaemon daemon;
  Prepare(daemon, 6);
  // The pending watches never return.
  store.SilenceWatches();
  store.RestoreCopy();
  store.Put(kOtherKey, MakeOther("127.0.0.1:10"));
  store.Put("table", MakeTable(7));
  daemon.RunFor(seconds(4));
  cr_assert_eq(daemon.GetOtherAddress(), "127.0.0.1:10");
  cr_assert_eq(daemon.state.GetTableVersion(), 7);
  cr_assert_eq(daemon.state.GetProgress(GetNow()).hosts_era, 4);
}

Test(older_store, a_host_is_listed_under_a_lease_of_its_own) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  SyncedDaemon daemon;
  Prepare(daemon, 6);
  cr_assert(store.Has(kOwnKey));
  store.RestoreCopy();
  cr_assert_not(store.Has(kOwnKey));
  // Another host gets the lease that this one had.
  const std::uint64_t lease = store.Grant();
  daemon.RunFor(seconds(2));
  cr_assert(store.Has(kOwnKey));
  cr_assert_neq(store.GetLease(kOwnKey), lease);
}

Test(older_store, versions_never_go_back) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  SyncedDaemon daemon;
  Prepare(daemon, 6);
  store.RestoreCopy();
  for (int step = 0; step < 20; ++step) {
    daemon.RunFor(milliseconds(100));
    cr_assert_eq(daemon.state.GetTableVersion(), 6);
  }
  store.Put("table", MakeTable(7));
  daemon.RunFor(milliseconds(500));
  cr_assert_eq(daemon.state.GetTableVersion(), 7);
}

// The daemon has not got the version that removed a key, and the restored store does not have it.
Test(older_store, a_restored_store_proves_nothing_until_the_operators_have_written) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  SyncedDaemon daemon;
  Prepare(daemon, 6);
  store.SaveCopy();
  daemon.RunFor(milliseconds(700));
  cr_assert(daemon.IsProven());
  store.RestoreCopy();
  const TimePoint restored = GetNow();
  daemon.RunFor(milliseconds(1900));
  cr_assert(*daemon.state.GetProvenAt() <= restored);
  cr_assert_not(daemon.IsProven());
  store.Put("table", MakeTable(6));
  daemon.RunFor(milliseconds(700));
  cr_assert(daemon.IsProven());
}

// The operators wrote the configuration before this daemon saw the new era.
Test(older_store, a_restored_store_proves_the_version_after_the_bound) {
  FakeLeaseStore& store = FakeStoreClient::GetStore();
  SyncedDaemon daemon;
  Prepare(daemon, 6);
  store.SaveCopy();
  store.RestoreCopy();
  daemon.RunFor(SyncedDaemon::kBound + seconds(1));
  cr_assert(daemon.IsProven());
}
