// Guards, with whole daemons and sockets, against refusals that do not tell the daemon of the
// caller that a workspace is beyond its share, and against work that is offered to the target
// nevertheless.

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "Core/digest.h"
#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"
#include "Http/boot_clock.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n";

RouteTable MakeTable() {
  RouteTable table;
  table.version = 2;
  table.services = {{"book", "/health", 100}, {"desk", "/health", 100}};
  table.routes.push_back({"read", "a", "/read/", {{"book", 1}}, true, 1500, 500, 1, 2});
  for (const char* name : {"hot", "small"}) {
    MeshWorkspace workspace;
    workspace.name = name;
    workspace.key_digests.push_back(ComputeDigest(std::string("secret-of-") + name));
    table.workspaces.push_back(workspace);
  }
  return table;
}

class Mesh : public FakeMesh<KeepAliveTarget> {
 public:
  Mesh()
      : FakeMesh(
            0,
            [](const std::string&, int) {
              std::this_thread::sleep_for(milliseconds(60));
              return TargetReply{kResponse, "", milliseconds(0), false};
            },
            kResponse) {
    FakeStoreClient::GetStore().Put("table", Encode(MakeTable()));
  }

  // Requests have paths of their own, so that none is taken for a resend of another one.
  std::string Send(const std::string& workspace) {
    RawClient client(this->GetFront().GetSettings().caller_address);
    client.Write("GET /read/" + std::to_string(++this->sent) +
                 " HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 8000\r\n" +
                 "X-Key: secret-of-" + workspace + "\r\nConnection: close\r\n\r\n");
    return client.ReadFor(milliseconds(2500));
  }

  std::string GetMetrics(MeshDaemon& daemon) {
    return daemon.SendGetRequest(daemon.GetSettings().metrics_address, "/metrics");
  }

 private:
  std::atomic<int> sent = 0;
};

}  // namespace

// The target has 4 slots. 16 callers of one workspace and 3 of the other one ask without a pause.
Test(shares, a_workspace_beyond_its_share_is_refused_with_the_reason) {
  Mesh mesh;
  const TimePoint until = GetNow() + std::chrono::seconds(10);
  while (!HasStatus(mesh.Send("small"), "200")) {
    cr_assert(GetNow() < until);
  }
  std::atomic<bool> done = false;
  std::atomic<int> beyond = 0;
  std::atomic<int> without_delay = 0;
  std::atomic<int> small_beyond = 0;
  std::vector<std::thread> callers;
  for (int i = 0; i < 19; ++i) {
    callers.emplace_back([&, hot = i < 16] {
      while (!done && GetNow() < until) {
        const std::string response = mesh.Send(hot ? "hot" : "small");
        if (response.find("beyond_share") != std::string::npos) {
          ++(hot ? beyond : small_beyond);
          without_delay += response.find("Retry-After: ") == std::string::npos ? 1 : 0;
          done = done || beyond >= 20;
        }
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  cr_assert_geq(beyond.load(), 20);
  cr_assert_eq(small_beyond.load(), 0);
  cr_assert_eq(without_delay.load(), 0);
  cr_assert(mesh.GetMetrics(mesh.GetFront())
                .find("share_refusals_total{workspace=\"hot\",at=\"caller\"}") !=
            std::string::npos);
  const std::string at_target = mesh.GetMetrics(mesh.GetBack());
  cr_assert(at_target.find("share_refusals_total{workspace=\"hot\",at=\"target\"}") !=
            std::string::npos);
  cr_assert(at_target.find("lacewingbridge_share_workspaces 2") != std::string::npos);
}
