// Guards, with whole daemons and sockets, against requests that run for the wrong workspace or
// without a key, API keys that reach a target, and keys that show in what operators read.

#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Core/base64.h"
#include "Core/digest.h"
#include "Fakes/fake_mesh.h"
#include "Fakes/keep_alive_target.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/header_fields.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kPressKey[] = "secret-of-press-5rcpihha";
constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Target: t1\r\nX-Signature: s\r\nContent-Length: 0\r\n\r\n";

// The requests that a target received.
struct RequestLog {
  std::mutex mutex;
  std::vector<std::string> requests;
};

MeshWorkspace MakeWorkspace(const std::string& name, const std::string& key) {
  MeshWorkspace workspace;
  workspace.name = name;
  workspace.key_digests.push_back(ComputeDigest(key));
  return workspace;
}

RouteTable MakeTable(std::uint64_t version) {
  RouteTable table;
  table.version = version;
  table.services = {{"book", "/health", 100}, {"desk", "/health", 100}};
  table.routes.push_back({"read", "a", "/read/", {{"book", 1}}, true, 1500, 500, 1, 2});
  table.routes.push_back({"check", "a", "/check/", {{"book", 1}}, true, 1500, 500, 1, 2, true});
  table.workspaces = {MakeWorkspace("press", kPressKey), MakeWorkspace("film", "secret-of-film")};
  table.workspaces[0].priority = 7;
  return table;
}

class Mesh : public FakeMesh<KeepAliveTarget> {
 public:
  Mesh() : Mesh(std::make_shared<RequestLog>()) {}

  void Put(const RouteTable& table) {
    FakeStoreClient::GetStore().Put("table", Encode(table));
    const std::string wanted = "\"table_version\":\"" + std::to_string(table.version) + "\"";
    for (MeshDaemon* daemon : {&this->GetFront(), &this->GetBack()}) {
      for (int i = 0; i < 60 && this->GetDump(*daemon).find(wanted) == std::string::npos; ++i) {
        std::this_thread::sleep_for(milliseconds(20));
      }
      cr_assert(this->GetDump(*daemon).find(wanted) != std::string::npos);
    }
  }

  std::string GetDump(MeshDaemon& daemon) {
    return daemon.SendGetRequest(daemon.GetSettings().metrics_address, "/dump");
  }

  // Sends a request with further header lines from the host of the daemon.
  std::string SendWith(const MeshDaemon& daemon, const std::string& path,
                       const std::string& header_lines) {
    RawClient client(daemon.GetSettings().caller_address);
    client.Write("GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 1000\r\n" +
                 header_lines + "Connection: close\r\n\r\n");
    return client.ReadFor(milliseconds(2500));
  }

  // Sends until the response has the status, for a few seconds; returns the last response.
  std::string SendUntil(const std::string& status, const std::string& header_lines) {
    std::string response;
    for (int i = 0; i < 50 && !HasStatus(response, status); ++i) {
      std::this_thread::sleep_for(milliseconds(i == 0 ? 0 : 100));
      response = this->SendWith(this->GetFront(), "/read/1", header_lines);
    }
    return response;
  }

  // Returns the requests that reached the target, and forgets them.
  std::vector<std::string> TakeRequests() {
    const std::lock_guard guard(this->log->mutex);
    return std::exchange(this->log->requests, {});
  }

 private:
  explicit Mesh(const std::shared_ptr<RequestLog>& request_log)
      : FakeMesh(
            0,
            [request_log](const std::string& request, int) {
              const std::lock_guard guard(request_log->mutex);
              request_log->requests.push_back(request);
              return TargetReply{kResponse, "", milliseconds(0), false};
            },
            kResponse),
        log(request_log) {}

  std::shared_ptr<RequestLog> log;
};

std::string MakeKeyLine(const std::string& key) { return "X-Key: " + key + "\r\n"; }

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

Test(access, a_target_learns_the_workspace_and_not_the_key) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  for (MeshDaemon* daemon : {&mesh.GetFront(), &mesh.GetBack()}) {
    const std::string forged = "x-workspace: forged\r\nX-Workspace: forged\r\nX-Kept: 1\r\n";
    const std::string response = mesh.SendWith(*daemon, "/read/1", MakeKeyLine(kPressKey) + forged);
    cr_assert(HasStatus(response, "200"), "%s", response.c_str());
    const std::vector<std::string> requests = mesh.TakeRequests();
    cr_assert_eq(requests.size(), 1);
    cr_assert(Contains(requests[0], "X-Workspace: press\r\n"), "%s", requests[0].c_str());
    cr_assert(Contains(requests[0], "X-Kept: 1\r\n"), "%s", requests[0].c_str());
    cr_assert(!Contains(requests[0], "forged"), "%s", requests[0].c_str());
    cr_assert(!Contains(requests[0], "X-Key"), "%s", requests[0].c_str());
  }
}

// The calls of a target carry no key, and come in through the daemon beside it.
Test(access, public_routes_need_no_key_and_have_no_workspace) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  const std::string forged = "X-Workspace: press\r\n" + MakeKeyLine(kPressKey);
  for (MeshDaemon* daemon : {&mesh.GetFront(), &mesh.GetBack()}) {
    for (const std::string& lines : {std::string(), forged, MakeKeyLine("unknown")}) {
      const std::string response = mesh.SendWith(*daemon, "/check/1", lines);
      cr_assert(HasStatus(response, "200"), "%s", response.c_str());
      const std::vector<std::string> requests = mesh.TakeRequests();
      cr_assert_eq(requests.size(), 1);
      cr_assert(!Contains(requests[0], "X-Workspace"), "%s", requests[0].c_str());
      cr_assert(!Contains(requests[0], "X-Key"), "%s", requests[0].c_str());
    }
  }
}

// Guards against a key that reaches the target because the caller's daemon has no version with
// workspaces yet, and against a name of a workspace that comes after the body.
Test(access, the_daemon_beside_the_target_removes_what_callers_wrote) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  HopRequest hop;
  hop.service = "book";
  hop.time_left_ms = 1000;
  hop.objective_left_ms = 500;
  hop.idempotent = true;
  http::request_header<> head;
  SetHopRequest(head, hop);
  std::string lines = MakeKeyLine("old") + "X-Workspace: forged\r\n";
  for (const auto& field : head) {
    lines += std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
  }
  RawClient peer(mesh.GetBack().GetSettings().peer_address);
  peer.Write("GET /check/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n" + lines + "\r\n");
  const std::string response = peer.ReadFor(milliseconds(500));
  cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  RawClient caller(mesh.GetFront().GetSettings().caller_address);
  caller.Write(
      "POST /check/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\nx\r\n0\r\nX-Workspace: forged\r\nX-Key: late\r\n\r\n");
  caller.ReadFor(milliseconds(500));
  const std::vector<std::string> requests = mesh.TakeRequests();
  cr_assert_eq(requests.size(), 2);
  for (const std::string& request : requests) {
    cr_assert(!Contains(request, "X-Key"), "%s", request.c_str());
    cr_assert(!Contains(request, "X-Workspace"), "%s", request.c_str());
  }
}

// Guards against headers that the daemon does not see, but writes to the target.
Test(access, a_request_whose_head_is_not_well_formed_is_refused) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  for (const std::string line :
       {"X-Key : late", "X-Workspace : forged", "X-Workspace\t: forged", "X(A): b", ": b",
        "X-A: b\x01", "X-A: b\x7f", "X-A: b\rX-Workspace: forged", "X-A: b\nX-Workspace : forged",
        "Content-Length : 5"}) {
    for (MeshDaemon* daemon : {&mesh.GetFront(), &mesh.GetBack()}) {
      const std::string response = mesh.SendWith(*daemon, "/check/1", line + "\r\n");
      cr_assert(HasStatus(response, "400"), "%s: %s", line.c_str(), response.c_str());
    }
    RawClient peer(mesh.GetBack().GetSettings().peer_address);
    peer.Write("GET /check/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\n" + line + "\r\n\r\n");
    const std::string response = peer.ReadFor(milliseconds(500));
    cr_assert(HasStatus(response, "400"), "%s: %s", line.c_str(), response.c_str());
  }
  for (const std::string target :
       {"/check/1?\x01", "/check/1?a\tb", "/check/1?a\rb", "/check/1?a b", "/check/1?\x7f"}) {
    const std::string response = mesh.SendWith(mesh.GetFront(), target, "");
    cr_assert(HasStatus(response, "400"), "%s: %s", target.c_str(), response.c_str());
  }
  cr_assert(mesh.TakeRequests().empty());
}

Test(access, without_workspaces_headers_pass_and_no_key_is_asked) {
  Mesh mesh;
  const std::string lines = MakeKeyLine("mine") + "X-Workspace: mine\r\n";
  for (const std::string& given : {std::string(), lines}) {
    const std::string response = mesh.SendWith(mesh.GetFront(), "/read/1", given);
    cr_assert(HasStatus(response, "200"), "%s", response.c_str());
  }
  const std::vector<std::string> requests = mesh.TakeRequests();
  cr_assert_eq(requests.size(), 2);
  cr_assert(!Contains(requests[0], "X-Workspace"), "%s", requests[0].c_str());
  cr_assert(Contains(requests[1], lines), "%s", requests[1].c_str());
}

Test(access, a_request_without_a_known_key_does_not_run) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  const std::string twice = MakeKeyLine(kPressKey) + MakeKeyLine(kPressKey);
  for (const std::string& lines : {std::string(), MakeKeyLine("unknown"), MakeKeyLine(""), twice,
                                   MakeKeyLine(std::string(4000, 'k'))}) {
    const std::string response = mesh.SendWith(mesh.GetFront(), "/read/1", lines);
    const bool denied = HasStatus(response, "401") && Contains(response, "WWW-Authenticate: Key");
    const bool unsure = HasStatus(response, "503") && Contains(response, "Retry-After: 0.");
    cr_assert(denied || unsure, "%s", response.c_str());
  }
  cr_assert(mesh.TakeRequests().empty());
}

Test(access, a_daemon_that_knows_the_newest_version_denies_an_unknown_key) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  for (const std::string& lines : {MakeKeyLine("unknown"), std::string()}) {
    const std::string response = mesh.SendUntil("401", lines);
    cr_assert(HasStatus(response, "401"), "%s", response.c_str());
    cr_assert(Contains(response, "WWW-Authenticate: Key\r\n"), "%s", response.c_str());
  }
  cr_assert(mesh.TakeRequests().empty());
}

// No proofs are made without the bound, so an unknown key would be refused as unsure for good.
Test(access, without_a_bound_on_removed_keys_an_unknown_key_is_denied_at_once) {
  Mesh mesh;
  for (MeshDaemon* daemon : {&mesh.GetFront(), &mesh.GetBack()}) {
    MeshSettings changed = daemon->GetSettings();
    changed.revoke_bound_ms = 0;
    cr_assert(daemon->Apply(changed).empty());
  }
  mesh.Put(MakeTable(2));
  for (const std::string& lines : {MakeKeyLine("unknown"), std::string()}) {
    const std::string response = mesh.SendWith(mesh.GetFront(), "/read/1", lines);
    cr_assert(HasStatus(response, "401"), "%s", response.c_str());
  }
  const std::string known = mesh.SendWith(mesh.GetFront(), "/read/1", MakeKeyLine(kPressKey));
  cr_assert(HasStatus(known, "200"), "%s", known.c_str());
}

Test(access, a_key_is_served_as_the_version_in_force_says) {
  Mesh mesh;
  mesh.Put(MakeTable(2));
  cr_assert(HasStatus(mesh.SendUntil("200", MakeKeyLine(kPressKey)), "200"));
  mesh.TakeRequests();
  RouteTable moved = MakeTable(3);
  moved.workspaces[1].key_digests = moved.workspaces[0].key_digests;
  moved.workspaces[0].key_digests.clear();
  mesh.Put(moved);
  cr_assert(HasStatus(mesh.SendUntil("200", MakeKeyLine(kPressKey)), "200"));
  const std::vector<std::string> requests = mesh.TakeRequests();
  cr_assert_eq(requests.size(), 1);
  cr_assert(Contains(requests[0], "X-Workspace: film\r\n"), "%s", requests[0].c_str());
  RouteTable removed = MakeTable(4);
  removed.workspaces[0].key_digests.clear();
  mesh.Put(removed);
  const std::string response = mesh.SendWith(mesh.GetFront(), "/read/1", MakeKeyLine(kPressKey));
  cr_assert(HasStatus(response, "401") || HasStatus(response, "503"), "%s", response.c_str());
  cr_assert(mesh.TakeRequests().empty());
}

// Also checks that the priority of the workspace goes before that of the route.
Test(access, operators_see_the_workspace_and_no_key) {
  char path[] = "/tmp/lacewing-access-XXXXXX";
  const int file = mkstemp(path);
  const int standard_output = dup(STDOUT_FILENO);
  dup2(file, STDOUT_FILENO);
  std::string seen;
  {
    Mesh mesh;
    RouteTable table = MakeTable(2);
    table.workspaces.push_back(MakeWorkspace("twin", "secret-of-film"));
    table.workspaces.push_back(MakeWorkspace("", "secret-of-nobody"));
    mesh.Put(table);
    cr_expect(HasStatus(mesh.SendUntil("200", MakeKeyLine(kPressKey)), "200"));
    for (const char* key : {"secret-of-film", "secret-of-nobody"}) {
      seen += mesh.SendWith(mesh.GetFront(), "/read/1", MakeKeyLine(key));
    }
    for (MeshDaemon* daemon : {&mesh.GetFront(), &mesh.GetBack()}) {
      for (const char* page : {"/dump", "/metrics", "/requests/r1"}) {
        seen += daemon->SendGetRequest(daemon->GetSettings().metrics_address, page);
      }
    }
  }
  cr_expect(EventLog::Flush(std::chrono::seconds(5)));
  dup2(standard_output, STDOUT_FILENO);
  std::stringstream lines;
  lines << std::ifstream(path).rdbuf();
  unlink(path);
  seen += lines.str();
  for (const char* part : {"workspace_requests_total{workspace=\"press\",status=\"200\"} 1",
                           "LW0810", "LW0811", "route=read workspace=press ",
                           "workspace=press outcome=answered reason= status=200 "
                           "priority=7"}) {
    cr_assert(Contains(seen, part), "%s lacks %s", seen.c_str(), part);
  }
  for (const std::string& key :
       {std::string(kPressKey), std::string("secret-of-film"), std::string("secret-of-nobody")}) {
    const std::string digest = ComputeDigest(key);
    for (const std::string& secret : {key, digest, FormatHex(digest), EncodeBase64(digest)}) {
      cr_assert(!Contains(seen, secret), "a key or its digest shows: %s", seen.c_str());
    }
  }
}

// Guards against a configuration with many workspaces that fills the memory with series.
Test(access, names_beyond_a_limit_share_a_series) {
  MetricsRegistry metrics(4);
  constexpr int kNames = 2 * static_cast<int>(MetricsRegistry::kMaxNames);
  for (int i = 0; i < kNames; ++i) {
    metrics.AddNamedCount("requests", "workspace", "w\"" + std::to_string(i), "status=\"200\"");
  }
  const std::string text = metrics.Format("");
  cr_assert(Contains(text, "{workspace=\"w\\\"0\",status=\"200\"} 1"), "%s", text.c_str());
  cr_assert(Contains(text, "{workspace=\"other\",status=\"200\"} " +
                               std::to_string(kNames - MetricsRegistry::kMaxNames)),
            "%s", text.c_str());
}
