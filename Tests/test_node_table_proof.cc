// Guards against API keys that are served although the version in force may not be the newest, keys
// that are refused although it is, and needless calls to the store.

#include <algorithm>
#include <string>
#include <vector>

#include "Fakes/fake_lease_store.h"
#include "Fakes/fake_platform.h"
#include "Fakes/fake_table_source.h"
#include "Http/io_shard.h"
#include "Proxy/mesh_state.h"
#include "Proxy/target_gate.h"
#include "Store/store_sync.h"
#include "Workspaces/proof_readers.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kBound = seconds(3);

std::string MakeTable(std::uint64_t version, bool with_workspace = true) {
  RouteTable table;
  table.version = version;
  if (with_workspace) {
    table.workspaces.push_back({"acme", {}, std::nullopt, 0, 0});
  }
  return Encode(table);
}

// The part of a daemon that synchronises with the store, and its shard.
class ProvingDaemon {
 public:
  explicit ProvingDaemon(Duration bound = kBound)
      : state({"h1", "a1", "a", "127.0.0.1:1", "book", "127.0.0.1:2"}, {}),
        gate("book", 0),
        client(this->shard, ""),
        sync(this->shard, this->state, this->gate, this->client,
             {milliseconds(100), milliseconds(200), 0}) {
    this->state.SetRevokeBound(bound);
    this->sync.Start();
  }

  void RunFor(Duration time) { this->shard.GetContext().run_for(time); }
  bool IsProven() const { return this->state.IsTableProven(GetNow()); }
  FakeLeaseStore& GetStore() { return FakeStoreClient::GetStore(); }

  IoShard shard{1};
  MeshState state;
  TargetGate gate;
  FakeStoreClient client;
  StoreSync<FakeStoreClient, FakeTableSource> sync;
};

// Whether the daemon serves keys, as its metrics tell.
bool ServesKeys(MeshDaemon& daemon) {
  return daemon.SendGetRequest(daemon.GetSettings().metrics_address, "/metrics")
             .find("lacewingbridge_proof_age_seconds") != std::string::npos;
}

}  // namespace

Test(node_table_proof, keys_are_served_through_new_versions) {
  ProvingDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(200));
  for (int step = 0; step < 40; ++step) {
    if (step % 4 == 0) {
      daemon.GetStore().Put("table", MakeTable(6 + step));
    }
    daemon.RunFor(milliseconds(100));
    cr_assert(daemon.IsProven());
  }
}

Test(node_table_proof, keys_are_refused_in_an_outage_and_served_soon_after_it) {
  ProvingDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(700));
  daemon.GetStore().SetRefusing(true);
  daemon.RunFor(milliseconds(500));
  cr_assert(daemon.IsProven());
  daemon.RunFor(milliseconds(2400));
  cr_assert_not(daemon.IsProven());
  daemon.GetStore().SetRefusing(false);
  daemon.RunFor(milliseconds(1200));
  cr_assert(daemon.IsProven());
}

Test(node_table_proof, the_proof_of_another_daemon_stands_in_for_the_store) {
  ProvingDaemon daemon;
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(200));
  daemon.GetStore().SetRefusing(true);
  for (int step = 0; step < 40; ++step) {
    const TimePoint sent = GetNow();
    daemon.RunFor(milliseconds(100));
    daemon.state.RecordPeerProof(sent, 5, 40);
    cr_assert(daemon.IsProven());
  }
  const PeerProgress progress = daemon.state.GetProgress(GetNow());
  cr_assert_eq(progress.table_version, 5);
  cr_assert_geq(progress.proof_age_ms.value_or(0), 140);
  cr_assert_leq(progress.proof_age_ms.value_or(9999), 1000);
}

// Nothing that the store returns proves the version in force after these writes.
Test(node_table_proof, an_older_or_unreadable_configuration_proves_nothing) {
  for (const std::string& value : {MakeTable(4), std::string("\xff not a table")}) {
    ProvingDaemon daemon;
    daemon.GetStore().Put("table", MakeTable(5));
    daemon.RunFor(milliseconds(200));
    cr_assert(daemon.IsProven());
    daemon.GetStore().Put("table", value);
    daemon.RunFor(milliseconds(2900));
    cr_assert_not(daemon.IsProven());
    daemon.GetStore().ForgetHistory();
    daemon.RunFor(milliseconds(500));
    cr_assert_not(daemon.IsProven());
    daemon.GetStore().Put("table", MakeTable(6));
    daemon.RunFor(milliseconds(1000));
    cr_assert(daemon.IsProven());
  }
}

Test(node_table_proof, a_requested_proof_is_read_soon_and_not_for_each_request) {
  ProvingDaemon daemon(seconds(10));
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(700));
  const int calls = daemon.GetStore().GetCalls();
  const TimePoint requested = GetNow();
  for (int request = 0; request < 50; ++request) {
    daemon.state.RequestProof();
    daemon.RunFor(milliseconds(10));
  }
  daemon.RunFor(milliseconds(200));
  cr_assert(*daemon.state.GetProvenAt() >= requested);
  cr_assert_leq(daemon.GetStore().GetCalls() - calls, 3);
}

// Callers that send random keys must not set the rate of calls to the store.
Test(node_table_proof, requests_cause_at_most_one_call_a_second) {
  ProvingDaemon daemon(seconds(20));
  daemon.GetStore().Put("table", MakeTable(5));
  daemon.RunFor(milliseconds(700));
  std::vector<TimePoint> proven;
  const TimePoint end = GetNow() + milliseconds(3400);
  while (GetNow() < end) {
    daemon.state.RequestProof();
    daemon.RunFor(milliseconds(10));
    if (proven.empty() || proven.back() != *daemon.state.GetProvenAt()) {
      proven.push_back(*daemon.state.GetProvenAt());
    }
  }
  // The first one is that of the start.
  cr_assert_geq(proven.size(), 4);
  cr_assert_leq(proven.size(), 5);
}

Test(node_table_proof, without_workspaces_or_a_bound_no_call_is_made) {
  for (const bool with_workspace : {false, true}) {
    ProvingDaemon daemon(with_workspace ? Duration{0} : kBound);
    daemon.GetStore().Put("table", MakeTable(5, with_workspace));
    daemon.RunFor(milliseconds(700));
    const int calls = daemon.GetStore().GetCalls();
    daemon.state.RequestProof();
    daemon.RunFor(seconds(3));
    // Three renewals of the lease and two watches each of the table and of the hosts.
    cr_assert_leq(daemon.GetStore().GetCalls() - calls, 7);
    cr_assert(daemon.IsProven());
    cr_assert_not(daemon.state.GetProvenAt().has_value());
    cr_assert_not(daemon.state.GetProgress(GetNow()).proof_age_ms.has_value());
  }
}

// The daemon that is cut off is a reader itself, and the other reader cannot be reached.
Test(node_table_proof, a_daemon_asks_any_other_one_after_a_reader_has_failed) {
  HostRecord reader;
  reader.host = "reader";
  reader.peer_address = FindFreeAddress();
  std::string other_name;
  const auto is_other_a_reader = [&reader, &other_name] {
    std::vector<HostRecord> hosts(3);
    hosts[0].host = "cut";
    hosts[1].host = other_name;
    hosts[2].host = reader.host;
    const std::vector<HostRecord> readers = ChooseProofReaders(hosts);
    return std::any_of(readers.begin(), readers.end(), [&other_name](const HostRecord& record) {
      return record.host == other_name;
    });
  };
  for (int i = 0; other_name.empty() || is_other_a_reader(); ++i) {
    other_name = "other" + std::to_string(i);
  }
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/" + reader.host, Encode(reader));
  FakeStoreClient::GetStore().Put("table", MakeTable(5));
  MeshDaemon cut("cut", "desk", FindFreeAddress());
  MeshDaemon other(other_name, "desk", FindFreeAddress());
  bool is_known = false;
  for (int step = 0; step < 60 && !(is_known && ServesKeys(cut)); ++step) {
    const std::string dump = cut.SendGetRequest(cut.GetSettings().metrics_address, "/dump");
    is_known = dump.find("\"host\":\"" + other_name + "\"") != std::string::npos;
  }
  cr_assert(is_known);
  FakeStoreClient::GetStore().SetRefusingOf(cut.GetSettings().store_address);
  // A call that is under way may still be answered.
  const TimePoint expired = GetNow() + milliseconds(500 + cut.GetSettings().revoke_bound_ms);
  const TimePoint end = expired + seconds(8);
  bool served = false;
  while (!served && GetNow() < end) {
    const bool serves = ServesKeys(cut);
    served = GetNow() >= expired && serves;
  }
  cr_assert(served);
}

// Two whole daemons. The bound is set while they run.
Test(node_table_proof, a_daemon_cut_off_from_the_store_is_proven_by_another_one) {
  FakeStoreClient::GetStore().Put("table", MakeTable(5));
  MeshDaemon cut("cut", "desk", FindFreeAddress());
  MeshDaemon other("other", "desk", FindFreeAddress());
  for (MeshDaemon* daemon : {&cut, &other}) {
    MeshSettings changed = daemon->GetSettings();
    changed.revoke_bound_ms = 2000;
    cr_assert(daemon->Apply(changed).empty());
  }
  // The other daemon is listed only after it has waited for its target.
  bool knows_other = false;
  for (int step = 0; step < 60 && !(knows_other && ServesKeys(cut)); ++step) {
    const std::string dump = cut.SendGetRequest(cut.GetSettings().metrics_address, "/dump");
    knows_other = dump.find("\"host\":\"other\"") != std::string::npos;
  }
  cr_assert(knows_other);
  FakeStoreClient::GetStore().SetRefusingOf(cut.GetSettings().store_address);
  for (int step = 0; step < 40; ++step) {
    cr_assert(ServesKeys(cut), "step %d", step);
  }
  FakeStoreClient::GetStore().SetRefusing(true);
  for (int step = 0; step < 40; ++step) {
    ServesKeys(cut);
  }
  cr_assert_not(ServesKeys(cut));
  cr_assert_not(ServesKeys(other));
  FakeStoreClient::GetStore().SetRefusing(false);
  for (int step = 0; step < 30; ++step) {
    ServesKeys(cut);
  }
  cr_assert(ServesKeys(cut));
}
