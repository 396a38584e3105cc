// Guards against requests that reach another host or the target although their callers had
// disconnected before a daemon without enough processor time read them.

#include <chrono>
#include <cstddef>
#include <optional>
#include <sstream>
#include <string>
#include <utility>

#include "Fakes/fake_mesh.h"
#include "Fakes/fake_platform.h"
#include "Fakes/http_loopback.h"
#include "Fakes/keep_alive_target.h"
#include "Observe/metrics_registry.h"
#include "Proxy/caller_request.h"
#include "Proxy/crash_containment.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/header_fields.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_request.h"
#include "Proxy/proxy_context.h"
#include "Proxy/quota_gate.h"
#include "Proxy/recent_requests.h"
#include "Proxy/target_gate.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

// Responds like a target, and to a request between daemons like the daemon beside a target.
TargetReply MakeReply(const std::string& bytes, int) {
  http::request_parser<http::string_body> parser;
  ErrorCode code;
  parser.put(asio::buffer(bytes), code);
  http::response<http::string_body> response(http::status::ok, 11);
  response.set("X-Id", "r1");
  response.set("X-Target", "t1");
  response.set("X-Signature", "s");
  const std::optional<HopRequest> hop = GetHopRequest(parser.get());
  if (hop.has_value()) {
    HopReport report;
    report.outcome = HopOutcome::kAnswered;
    report.accepting = true;
    report.slots = 4;
    report.target_id = "t2";
    report.hop_id = hop->hop_id;
    SetHopReport(response, report);
  }
  response.body() = "ok";
  response.prepare_payload();
  TargetReply reply;
  reply.bytes = (std::ostringstream() << response).str();
  return reply;
}

// The parts of a daemon that handle requests, on one thread that runs only when the test reads, and
// a server that stands for its target and for the other daemons.
class Daemon {
 public:
  Daemon()
      : target(MakeReply, ""),
        state({"h1", "a1", "a", this->target.GetAddress(), "book", "127.0.0.1:2"}, {}),
        quotas("h1", {}, 1, this->metrics),
        context{this->state,       this->gate,   this->stage,  this->metrics,
                this->containment, this->recent, this->quotas, [](const std::string&) {}} {
    TargetAnnouncement announcement;
    announcement.id = "t1";
    announcement.service = "book";
    announcement.slots = 4;
    announcement.sequence = 1;
    this->gate.HandleAnnouncement(GetNow(), announcement);
    this->gate.HandleHealthResponse(GetNow(), true, "t1", 4);
    this->gate.SetRunWindow(std::chrono::minutes(1));
    RouteTable table;
    table.version = 1;
    table.services.push_back({"shop", "/health", 100});
    table.routes.push_back({"read", "a", "/read/", {{"shop", 1}}, true, 1500, 500, 1, 2});
    this->state.OfferTable(std::move(table));
    HostRecord host;
    host.host = "h2";
    host.peer_address = this->target.GetAddress();
    host.target = LocalTargetRecord{"shop", "t2", 1, 4, true, TargetStay::kStays};
    this->state.MergeHost(GetNow(), host);
  }

  Awaitable<void> HandleCaller(ServerExchange& exchange) {
    CallerRequest request(this->context, *this->shard, exchange,
                          FakePlatform::Wire::ReadCallerHeaders(exchange.GetHead()),
                          FakePlatform::Wire::GetAccessHeaders());
    co_await request.Run();
  }

  Awaitable<void> HandlePeer(ServerExchange& exchange) {
    PeerRequest request(this->context, *this->shard, exchange, *GetHopRequest(exchange.GetHead()));
    co_await request.Run<FakePlatform::Wire>();
  }

  // The number of requests that were sent to other daemons and to the target.
  int CountHops() {
    const std::string text = this->metrics.Format("");
    int hops = 0;
    for (std::size_t at = text.find(kHops); at != std::string::npos; at = text.find(kHops, at)) {
      at = text.find("} ", at) + 2;
      hops += std::stoi(text.substr(at));
    }
    return hops;
  }
  int CountRuns() { return static_cast<int>(this->gate.CountRuns(GetNow())); }

  IoShard* shard = nullptr;

 private:
  static constexpr char kHops[] = "lacewingbridge_hops_total{";

  KeepAliveTarget target;
  MetricsRegistry metrics{1};
  CrashContainment containment;
  DaemonStage stage;
  RecentRequests recent;
  MeshState state;
  TargetGate gate{"book", 0};
  QuotaGate quotas;
  ProxyContext context;
};

std::string MakePeerRequest() {
  http::request<http::string_body> request(http::verb::post, "/read/1", 11);
  request.set("Host", "a");
  request.set("X-Id", "r1");
  HopRequest hop;
  hop.service = "book";
  hop.target_id = "t1";
  hop.time_left_ms = 1000;
  hop.objective_left_ms = 500;
  hop.idempotent = true;
  SetHopRequest(request, hop);
  request.body() = "x";
  request.prepare_payload();
  return (std::ostringstream() << request).str();
}

std::string MakeCallerRequest() {
  return "POST /read/1 HTTP/1.1\r\nHost: a\r\nX-Id: r1\r\nX-Time-Left-Ms: 1000\r\n"
         "Content-Length: 1\r\n\r\nx";
}

// Sends one request whose caller waits for the response, so that the daemon has a kept connection
// to the server, and then one whose caller has disconnected before the daemon reads it.
void SendTwice(Daemon& daemon, FunctionHandler& handler, const std::string& request) {
  HttpLoopback loopback(handler);
  daemon.shard = &loopback.GetShard();
  loopback.Write(request);
  const std::string received = loopback.Read();
  cr_assert(HasStatus(received, "200"), "%s", received.c_str());
  loopback.Write(request);
  loopback.Close();
  loopback.Read();
}

}  // namespace

Test(left_callers, their_requests_are_not_sent_to_other_hosts) {
  Daemon daemon;
  FunctionHandler handler(
      [&daemon](ServerExchange& exchange) { return daemon.HandleCaller(exchange); });
  SendTwice(daemon, handler, MakeCallerRequest());
  cr_assert_eq(daemon.CountHops(), 1);
}

Test(left_callers, their_requests_are_not_sent_to_the_target) {
  Daemon daemon;
  FunctionHandler handler(
      [&daemon](ServerExchange& exchange) { return daemon.HandlePeer(exchange); });
  SendTwice(daemon, handler, MakePeerRequest());
  cr_assert_eq(daemon.CountRuns(), 1);
}
