// Guards, with whole daemons and sockets, against requests that run beyond the quota of their
// workspace at two daemons together, and against refusals that do not say when to come back.

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <thread>

#include "Core/digest.h"
#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"
#include "Proxy/quota_asker.h"
#include "Quota/grant_fence.h"

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
  MeshWorkspace workspace;
  workspace.name = "press";
  workspace.key_digests.push_back(ComputeDigest(kKey));
  workspace.rate_per_s = kRate;
  workspace.burst = kBurst;
  table.workspaces.push_back(workspace);
  return table;
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

  std::string Send(const MeshDaemon& daemon, const std::string& path) {
    RawClient client(daemon.GetSettings().caller_address);
    client.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 1000\r\n" +
                 "X-Key: " + kKey + "\r\nConnection: close\r\n\r\n");
    return client.ReadFor(milliseconds(2500));
  }
};

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

// An ask that cannot be read, or names a share that does not exist, is answered and changes
// nothing.
Test(quota, asks_that_make_no_sense_are_refused) {
  Mesh mesh;
  for (const std::string& body : {std::string("\xff\xff\xff"), std::string()}) {
    RawClient client(mesh.GetBack().GetSettings().peer_address);
    client.Write(std::string("POST ") + kQuotaPath + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
                 std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body);
    cr_assert(HasStatus(client.ReadFor(milliseconds(1000)), body.empty() ? "200" : "400"));
  }
}
