// Guards, with whole daemons and sockets, against requests that run beyond the quota of their
// workspace at two daemons together, and against refusals that do not say when to come back.

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Core/digest.h"
#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"
#include "Proxy/quota_asker.h"
#include "Quota/grant_fence.h"
#include "Quota/granter_list.h"
#include "Quota/quota_limit.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kKey[] = "secret-of-press";
constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n";
constexpr std::uint32_t kRate = 2;
constexpr std::uint32_t kBurst = 6;

RouteTable MakeTable() {
  RouteTable table;
  table.version = 2;
  table.services = {{"book", "/health", 100}, {"desk", "/health", 100}};
  table.routes.push_back({"read", "a", "/read/", {{"book", 1}}, true, 1500, 500, 1, 2});
  table.routes.push_back({"check", "a", "/check/", {{"book", 1}}, true, 1500, 500, 1, 2, true});
  // Beyond a quarter of its objective no request waits for credit.
  table.routes.push_back({"plan", "a", "/plan/", {{"book", 1}}, true, 9000, 8000, 1, 2});
  MeshWorkspace workspace;
  workspace.name = "press";
  workspace.key_digests.push_back(ComputeDigest(kKey));
  workspace.rate_per_s = kRate;
  workspace.burst = kBurst;
  table.workspaces.push_back(workspace);
  return table;
}

// Returns a record of a host that grants the share of all these workspaces beside `front` and
// `back`.
HostRecord MakeGranter(const std::vector<MeshWorkspace>& workspaces, const std::string& address) {
  for (int i = 0;; ++i) {
    std::vector<HostRecord> hosts(3);
    hosts[0].host = "back";
    hosts[1].host = "front";
    hosts[2].host = "h" + std::to_string(i);
    for (HostRecord& record : hosts) {
      record.peer_address = address;
    }
    const GranterList list(GetNow(), hosts[2].host, hosts);
    if (std::all_of(workspaces.begin(), workspaces.end(),
                    [&list](const MeshWorkspace& item) { return list.IsOwn(item.name, 0); })) {
      return hosts[2];
    }
  }
}

class Mesh : public FakeMesh<KeepAliveTarget> {
 public:
  Mesh()
      : FakeMesh(
            0,
            [](const std::string&, int) {
              return TargetReply{kResponse, "", milliseconds(0), false};
            },
            kResponse) {
    FakeStoreClient::GetStore().Put("table", Encode(MakeTable()));
  }

  std::string Send(const MeshDaemon& daemon, const std::string& path, const std::string& key = kKey,
                   int time_left_ms = 1000) {
    RawClient client(daemon.GetSettings().caller_address);
    client.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: " +
                 std::to_string(time_left_ms) + "\r\nX-Key: " + key +
                 "\r\nConnection: close\r\n\r\n");
    return client.ReadFor(milliseconds(2500));
  }
};

// Whether the record of the daemon in the store says that it grants credit.
bool SaysThatItGrants(const MeshDaemon& daemon) {
  const StoreItem item =
      FakeStoreClient::GetStore().Get("lacewingbridge/hosts/" + daemon.GetSettings().host);
  HostRecord record;
  return item.value.has_value() && Decode(*item.value, record) && record.grants;
}

double ReadRetryAfter(const std::string& response) {
  constexpr std::string_view kName = "Retry-After: ";
  const std::size_t found = response.find(kName);
  return found == std::string::npos ? -1 : std::stod(response.substr(found + kName.size()));
}

}  // namespace

Test(quota, two_daemons_share_the_quota_and_a_refusal_says_when_there_is_credit) {
  Mesh mesh;
  const std::array<const MeshDaemon*, 2> daemons{&mesh.GetFront(), &mesh.GetBack()};
  // No daemon grants before it knows that no other one does.
  std::string response;
  const TimePoint until = GetNow() + GrantFence::kSettleTime + std::chrono::seconds(4);
  while (!HasStatus(response, "200") || response.find("X-Target") == std::string::npos) {
    cr_assert(GetNow() < until, "%s", response.c_str());
    std::this_thread::sleep_for(milliseconds(100));
    response = mesh.Send(mesh.GetFront(), "/read/1");
    if (HasStatus(response, "503") && response.find("quota_unknown") != std::string::npos) {
      cr_assert_gt(ReadRetryAfter(response), 0);
      // Public routes have no quota.
      cr_assert(HasStatus(mesh.Send(mesh.GetBack(), "/check/1"), "200"));
    }
  }
  // Time to fill the bucket.
  std::this_thread::sleep_for(milliseconds(1000 * kBurst / kRate));
  const TimePoint begin = GetNow();
  std::uint32_t served = 0;
  double retry_after = -1;
  for (std::size_t i = 0; i < 30; ++i) {
    response = mesh.Send(*daemons[i % 2], "/read/1");
    served += HasStatus(response, "200") ? 1 : 0;
    if (HasStatus(response, "429")) {
      retry_after = ReadRetryAfter(response);
      cr_assert_gt(retry_after, 0, "%s", response.c_str());
    } else {
      cr_assert(HasStatus(response, "200"), "%s", response.c_str());
    }
  }
  const double seconds = std::chrono::duration<double>(GetNow() - begin).count();
  cr_assert_geq(served, kBurst);
  cr_assert_leq(served, kBurst + kRate * seconds + 1);
  cr_assert_gt(retry_after, 0);
  for (std::size_t i = 0; i < 10; ++i) {
    cr_assert(HasStatus(mesh.Send(*daemons[i % 2], "/check/1"), "200"));
  }
  std::this_thread::sleep_for(std::chrono::duration<double>(retry_after));
  const bool served_later = HasStatus(mesh.Send(*daemons[0], "/read/1"), "200") ||
                            HasStatus(mesh.Send(*daemons[1], "/read/1"), "200");
  cr_assert(served_later);
}

// The granting daemon accepts asks and does not answer, which takes longer than the caller waits.
Test(quota, a_request_does_not_wait_for_credit_beyond_its_deadline) {
  constexpr int kTimeLeftMs = 100;
  Mesh mesh;
  KeepAliveTarget silent([](const std::string&, int) { return TargetReply(); }, "");
  RouteTable table = MakeTable();
  table.version = 3;
  for (const char* name : {"film", "radio", "free"}) {
    table.workspaces.push_back(table.workspaces[0]);
    table.workspaces.back().name = name;
    table.workspaces.back().key_digests = {ComputeDigest(name)};
  }
  table.workspaces[3].rate_per_s = 0;
  const HostRecord granter = MakeGranter(table.workspaces, silent.GetAddress());
  FakeStoreClient::GetStore().Put("lacewingbridge/hosts/" + granter.host, Encode(granter));
  FakeStoreClient::GetStore().Put("table", Encode(table));
  const MeshDaemon& front = mesh.GetFront();
  const TimePoint until = GetNow() + std::chrono::seconds(5);
  while (!HasStatus(mesh.Send(front, "/plan/1", "free"), "200") ||
         mesh.GetFront()
                 .SendGetRequest(front.GetSettings().metrics_address, "/dump")
                 .find("\"host\":\"" + granter.host + "\"") == std::string::npos) {
    cr_assert(GetNow() < until);
  }
  // The quotas follow the list of hosts with each tick.
  std::this_thread::sleep_for(milliseconds(500));
  // The share is not asked again for a while, so each workspace waits once.
  Duration shortest = Duration::max();
  for (const char* key : {kKey, "film", "radio"}) {
    const TimePoint sent = GetNow();
    const std::string response = mesh.Send(front, "/plan/1", key, kTimeLeftMs);
    cr_assert(HasStatus(response, "503"), "%s", response.c_str());
    cr_assert(response.find("quota_unknown") != std::string::npos, "%s", response.c_str());
    shortest = std::min(shortest, GetNow() - sent);
  }
  cr_assert_geq(shortest, milliseconds(50));
  cr_assert_lt(shortest, kAskLimit - milliseconds(30));
}

// An ask that cannot be read, or names a share that does not exist, is answered and changes
// nothing.
// Guards against restarts in turn that leave most of a quota ungranted: a daemon that had removed
// its host from the list at its stop waited six seconds for a successor that did not exist.
Test(quota, a_daemon_that_restarts_beside_its_target_grants_again_at_once) {
  Mesh mesh;
  KeepAliveTarget target(
      [](const std::string&, int) {
        return TargetReply{kResponse, "", milliseconds(0), false};
      },
      kResponse);
  const auto read_record = [] {
    const StoreItem item = FakeStoreClient::GetStore().Get("lacewingbridge/hosts/third");
    HostRecord record;
    return item.value.has_value() && Decode(*item.value, record) ? std::optional(record)
                                                                 : std::nullopt;
  };
  const auto wait_for_grants = [&read_record](MeshDaemon& daemon, Duration limit) {
    const auto grants_beside_target = [&read_record] {
      const std::optional<HostRecord> record = read_record();
      return record.has_value() && record->grants && record->target.has_value() &&
             record->target->accepting;
    };
    const TimePoint until = GetNow() + limit;
    while (!grants_beside_target() && GetNow() < until) {
      daemon.Announce();
      std::this_thread::sleep_for(milliseconds(50));
    }
    return grants_beside_target();
  };
  {
    MeshDaemon earlier("third", "book", target.GetAddress());
    cr_assert(wait_for_grants(earlier, GrantFence::kSettleTime + std::chrono::seconds(4)));
    // As much as a daemon on a host has, so that the stop is not cut short.
    MeshSettings settings = earlier.GetSettings();
    settings.stop_limit_ms = 6000;
    earlier.Apply(settings);
  }
  const std::optional<HostRecord> left = read_record();
  cr_assert(!left.has_value() || !left->target->accepting, "the others send no work to it");
  MeshDaemon next("third", "book", target.GetAddress());
  cr_assert(wait_for_grants(next, std::chrono::seconds(3)));
}

Test(quota, asks_that_make_no_sense_are_refused) {
  Mesh mesh;
  for (const std::string& body : {std::string("\xff\xff\xff"), std::string()}) {
    RawClient client(mesh.GetBack().GetSettings().peer_address);
    client.Write(std::string("POST ") + kQuotaPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    cr_assert(HasStatus(client.ReadFor(milliseconds(1000)), body.empty() ? "200" : "400"));
  }
}

// Guards against records that are written a second time when a daemon starts, which wakes up every
// daemon, although there is no credit to grant.
Test(quota, only_with_a_rate_does_a_record_say_that_its_daemon_grants) {
  Mesh mesh;
  RouteTable table = MakeTable();
  table.version = 3;
  table.workspaces[0].rate_per_s = 0;
  FakeStoreClient::GetStore().Put("table", Encode(table));
  std::this_thread::sleep_for(GrantFence::kSettleTime + std::chrono::seconds(3));
  cr_assert_not(SaysThatItGrants(mesh.GetFront()));
  cr_assert_not(SaysThatItGrants(mesh.GetBack()));
  table.version = 4;
  table.workspaces[0].rate_per_s = kRate;
  FakeStoreClient::GetStore().Put("table", Encode(table));
  const TimePoint until = GetNow() + std::chrono::seconds(5);
  while (!SaysThatItGrants(mesh.GetFront()) || !SaysThatItGrants(mesh.GetBack())) {
    cr_assert(GetNow() < until);
    std::this_thread::sleep_for(milliseconds(100));
  }
}
