// Guards against a daemon that returns to an older configuration, loses its entry in the list of
// hosts, or makes needless calls to the store, when the store misbehaves.

#include <string>

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

std::string MakeTable(std::uint64_t version) {
  RouteTable table;
  table.version = version;
  return Encode(table);
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
    TargetAnnouncement announcement;
    announcement.id = "t1";
    announcement.service = "book";
    announcement.slots = 9;
    announcement.sequence = 1;
    announcement.born_unix_ms = 1000;
    this->gate.HandleAnnouncement(GetNow(), announcement);
    this->gate.HandleHealthResponse(GetNow(), true, "t1", 9);
    this->sync.Start();
  }

  void RunFor(Duration time) { this->shard.GetContext().run_for(time); }
  FakeLeaseStore& GetStore() { return FakeStoreClient::GetStore(); }

  IoShard shard{1};
  MeshState state;
  TargetGate gate;
  FakeStoreClient client;
  StoreSync<FakeStoreClient, FakeTableSource> sync;
};

constexpr char kOwnKey[] = "lacewingbridge/hosts/h1";

}  // namespace

Test(store_sync, follows_versions_and_never_returns_to_an_older_one) {
  SyncedDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(50));
  cr_assert_eq(daemon.state.GetTableVersion(), 5);
  daemon.GetStore().Put("table", MakeTable(9));
  daemon.RunFor(milliseconds(200));
  cr_assert_eq(daemon.state.GetTableVersion(), 9);
  daemon.GetStore().Put("table", MakeTable(7));
  daemon.RunFor(milliseconds(200));
  cr_assert_eq(daemon.state.GetTableVersion(), 9);
  daemon.GetStore().Put("table", "\xff not a table");
  daemon.RunFor(milliseconds(200));
  cr_assert_eq(daemon.state.GetTableVersion(), 9);
  daemon.GetStore().Put("table", MakeTable(12));
  daemon.RunFor(milliseconds(200));
  cr_assert_eq(daemon.state.GetTableVersion(), 12);
}

// The daemon pauses between versions, so another one may have a newer version for a while.
Test(store_sync, states_when_the_store_will_deliver_the_next_version) {
  SyncedDaemon daemon;
  cr_assert(daemon.sync.GetTableDeliveryTime(GetNow()) == Duration{0}, "nothing has been read");
  daemon.GetStore().Put("table", MakeTable(3));
  daemon.RunFor(milliseconds(60));
  daemon.GetStore().Put("table", MakeTable(4));
  daemon.RunFor(milliseconds(20));
  const Duration time = daemon.sync.GetTableDeliveryTime(GetNow());
  cr_assert_gt(time.count(), 0);
  cr_assert(time <= milliseconds(100), "half of the bound");
}

Test(store_sync, reads_the_key_again_when_the_history_is_gone) {
  SyncedDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(50));
  daemon.GetStore().Put("table", MakeTable(6));
  daemon.GetStore().ForgetHistory();
  daemon.RunFor(milliseconds(300));
  cr_assert_eq(daemon.state.GetTableVersion(), 6);
}

Test(store_sync, catches_up_within_two_seconds_of_an_outage) {
  SyncedDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(50));
  daemon.GetStore().SetRefusing(true);
  daemon.GetStore().Put("table", MakeTable(6));
  daemon.RunFor(seconds(2));
  const int calls = daemon.GetStore().GetCalls();
  daemon.RunFor(seconds(2));
  // Three loops with delays of one second at most.
  cr_assert_leq(daemon.GetStore().GetCalls() - calls, 14);
  daemon.GetStore().SetRefusing(false);
  daemon.RunFor(seconds(2));
  cr_assert_eq(daemon.state.GetTableVersion(), 6);
  cr_assert(daemon.GetStore().Has(kOwnKey));
}

// Guards against a fault (pruitt-loom, deploy/days/store.toml, seed 946118037201): in an outage the
// pending watches of all daemons lost their events without an error, and a version came into force
// 30 s late.
Test(store_sync, watches_that_lost_events_in_an_outage_are_restarted) {
  SyncedDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(300));
  daemon.GetStore().SilenceWatches();
  daemon.GetStore().SetRefusing(true);
  daemon.RunFor(seconds(2));
  daemon.GetStore().Put("table", MakeTable(6));
  daemon.GetStore().SetRefusing(false);
  daemon.RunFor(seconds(2));
  cr_assert_eq(daemon.state.GetTableVersion(), 6);
}

// Guards against a version that comes into force half a minute late because the response to the
// watch of the only daemon was lost while all its other calls succeeded (review/2).
Test(store_sync, a_watch_of_a_single_daemon_that_lost_its_event_ends_soon) {
  SyncedDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(500));
  daemon.GetStore().SilenceWatches();
  daemon.GetStore().Put("table", MakeTable(6));
  daemon.RunFor(seconds(4));
  cr_assert_eq(daemon.state.GetTableVersion(), 6);
}

// Guards against watches that stay silent after another daemon has told of the missed change.
Test(store_sync, watches_are_restarted_if_another_daemon_knows_a_change_that_they_missed) {
  SyncedDaemon daemon;
  // In a fleet of this size watches last half a minute.
  for (int host = 2; host <= 20; ++host) {
    HostRecord record;
    record.host = "h" + std::to_string(host);
    record.peer_address = "127.0.0.1:" + std::to_string(host + 10);
    daemon.GetStore().Put("lacewingbridge/hosts/" + record.host, Encode(record));
  }
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(seconds(4));
  cr_assert_eq(daemon.state.GetHosts().size(), 20);
  daemon.GetStore().SilenceWatches();
  HostRecord joined;
  joined.host = "h21";
  joined.peer_address = "127.0.0.1:9";
  daemon.GetStore().Put("lacewingbridge/hosts/h21", Encode(joined));
  PeerProgress progress;
  progress.table_version = 5;
  progress.hosts_revision = daemon.GetStore().Get("lacewingbridge/hosts/h21").revision;
  for (int check = 0; check < 5; ++check) {
    daemon.sync.HandlePeerProgress(GetNow(), progress);
    daemon.RunFor(milliseconds(700));
  }
  cr_assert_eq(daemon.state.GetHosts().size(), 21);
}

Test(store_sync, lists_its_host_once_and_again_after_its_lease_has_ended) {
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(200));
  cr_assert(daemon.GetStore().Has(kOwnKey));
  const int calls = daemon.GetStore().GetCalls();
  // Announcements of the target leave the record unchanged, so they cause no call.
  for (int i = 0; i < 20; ++i) {
    daemon.sync.OnRecordChanged();
    daemon.RunFor(milliseconds(5));
  }
  cr_assert_leq(daemon.GetStore().GetCalls() - calls, 1);
  daemon.GetStore().EndLeases();
  cr_assert(!daemon.GetStore().Has(kOwnKey));
  daemon.RunFor(seconds(2));
  cr_assert(daemon.GetStore().Has(kOwnKey));
}

Test(store_sync, a_write_whose_response_was_lost_is_retried) {
  SyncedDaemon daemon;
  daemon.GetStore().LoseResponses(2);
  daemon.RunFor(seconds(1));
  cr_assert(daemon.GetStore().Has(kOwnKey));
  cr_assert_eq(daemon.state.GetHosts().size(), 1);
}

// The record in the store is from an earlier process, whose target had announced that it leaves.
Test(store_sync, a_target_that_left_during_an_earlier_process_gets_no_work) {
  HostRecord earlier;
  earlier.host = "h1";
  earlier.peer_address = "127.0.0.1:2";
  earlier.target = LocalTargetRecord{"book", "t1", 1000, 9, false};
  FakeStoreClient::GetStore().Put(kOwnKey, Encode(earlier));
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(100));
  cr_assert(!daemon.gate.MakeRecord().accepting);
}

// Guards against a daemon that refuses its sound target for good after a stop that a kill cut
// short: the record of the stopping process was taken for the word that the target leaves
// (review/3).
Test(store_sync, a_target_beside_an_earlier_process_that_only_stopped_gets_work) {
  {
    SyncedDaemon earlier;
    earlier.RunFor(milliseconds(200));
    earlier.gate.SetLeaving();
    earlier.sync.OnRecordChanged();
    earlier.RunFor(milliseconds(200));
  }
  HostRecord record;
  cr_assert(Decode(*FakeStoreClient::GetStore().Get(kOwnKey).value, record));
  cr_assert(record.target.has_value());
  cr_assert_not(record.target->accepting);
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(100));
  cr_assert(daemon.gate.MakeRecord().accepting);
}

// Guards against two daemons that grant the same share: the earlier process still waited because
// another daemon may have taken over, and this one must not skip the wait.
Test(store_sync, only_an_earlier_process_that_granted_ends_the_wait) {
  for (const bool grants : {false, true}) {
    HostRecord earlier;
    earlier.host = "h1";
    earlier.peer_address = "127.0.0.1:2";
    earlier.grants = grants;
    FakeStoreClient::GetStore().Put(kOwnKey, Encode(earlier));
    SyncedDaemon daemon;
    bool ended_wait = false;
    daemon.sync.SetEarlierRecordListener([&ended_wait](TimePoint) { ended_wait = true; });
    daemon.RunFor(milliseconds(100));
    cr_assert_eq(ended_wait, grants);
  }
}

Test(store_sync, the_record_says_that_the_daemon_grants_under_its_lease) {
  SyncedDaemon daemon;
  std::uint64_t lease = 0;
  daemon.sync.SetLeaseListener([&lease](const LeaseProof* proof) { lease = proof->lease; });
  daemon.sync.SetGrantsCheck([&lease](std::uint64_t own) { return own == lease; });
  const auto is_granting = [&daemon] {
    HostRecord record;
    cr_assert(Decode(*daemon.GetStore().Get(kOwnKey).value, record));
    return record.grants;
  };
  daemon.RunFor(milliseconds(100));
  cr_assert_not(is_granting());
  daemon.RunFor(milliseconds(2000));
  cr_assert(is_granting());
  // The record under the next lease comes before the proof of it.
  daemon.GetStore().EndLeases();
  for (int step = 0; step < 200 && !daemon.GetStore().Has(kOwnKey); ++step) {
    daemon.RunFor(milliseconds(10));
  }
  cr_assert_not(is_granting());
}

// Those who use the list of hosts copy it only if this number has changed.
Test(store_sync, the_generation_of_the_hosts_changes_with_each_host) {
  MeshState state({"h1", "a1", "a", "127.0.0.1:1", "book", "127.0.0.1:2"}, {});
  HostRecord staying;
  staying.host = "h2";
  HostRecord leaving;
  leaving.host = "h3";
  const TimePoint start = GetNow();
  state.MergeHost(start, staying);
  state.MergeHost(start, leaving);
  const std::uint64_t both = state.GetHostsGeneration();
  state.MergeHost(start, staying);
  state.RemoveHost(start, "h3");
  state.DropRemovedHosts(start);
  cr_assert_eq(state.GetHostsGeneration(), both);
  state.MergeHost(start + HostDirectory::kRemovalDelay, staying);
  cr_assert_eq(state.GetHosts().size(), 1);
  cr_assert_neq(state.GetHostsGeneration(), both);
}

Test(store_sync, unreadable_entries_add_no_host_and_the_others_apply) {
  HostRecord other;
  other.host = "h2";
  other.peer_address = "127.0.0.1:9";
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h2", Encode(other));
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h3", "\xff\xff");
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(100));
  const std::vector<HostRecord> hosts = daemon.state.GetHosts();
  cr_assert_eq(hosts.size(), 1);
  cr_assert_eq(hosts[0].host, "h2");
}

// Guards against entries of another writer that replace the record of a sound host, attract all
// requests, or have an address to which no connection can be made.
Test(store_sync, odd_entries_change_no_other_host_and_are_not_used) {
  HostRecord sound;
  sound.host = "h2";
  sound.peer_address = "127.0.0.1:9";
  sound.target = LocalTargetRecord{"book", "t2", 1, 9, true};
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h2", Encode(sound));
  HostRecord odd = sound;
  odd.peer_address = "127.0.0.1:10";
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h3", Encode(odd));
  odd.host = "h4";
  odd.peer_address = "127.0.0.1:99999";
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h4", Encode(odd));
  odd.host = "h5";
  odd.peer_address = "127.0.0.1:11";
  odd.target->slots = 4'000'000'000;
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h5", Encode(odd));
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/h6", std::string(100'000, '\x0a'));
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(100));
  std::vector<HostRecord> hosts = daemon.state.GetHosts();
  std::erase_if(hosts, [](const HostRecord& record) { return record.host == "h1"; });
  cr_assert_eq(hosts.size(), 1);
  cr_assert_eq(hosts[0].peer_address, "127.0.0.1:9");
}

// Guards against a host that others no longer find because another writer has replaced its record.
Test(store_sync, writes_its_record_again_when_another_writer_spoilt_it) {
  SyncedDaemon daemon;
  daemon.RunFor(milliseconds(200));
  daemon.GetStore().Put(kOwnKey, "\xff odd");
  daemon.RunFor(seconds(3));
  HostRecord record;
  cr_assert(Decode(*daemon.GetStore().Get(kOwnKey).value, record));
  cr_assert_eq(record.host, "h1");
}
