#ifndef LACEWINGBRIDGE_TESTS_FAKES_REQUEST_DAEMON_H_
#define LACEWINGBRIDGE_TESTS_FAKES_REQUEST_DAEMON_H_

#include <chrono>
#include <cstddef>
#include <mutex>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

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

namespace lacewingbridge {

// Responds like a target, and to a request between daemons like the daemon beside a target.
inline TargetReply MakeDaemonReply(const std::string& bytes, int) {
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
class RequestDaemon {
 public:
  RequestDaemon()
      : target(
            [this](const std::string& bytes, int number) {
              this->RecordHop(bytes);
              return MakeDaemonReply(bytes, number);
            },
            ""),
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
    table.routes.push_back({"check", "a", "/check/", {{"shop", 1}}, true, 1500, 500, 1, 2});
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

  // The requests that were sent to other daemons, as their daemons read them.
  std::vector<HopRequest> GetHops() {
    const std::lock_guard guard(this->hops_mutex);
    return this->received_hops;
  }

  IoShard* shard = nullptr;

 private:
  static constexpr char kHops[] = "lacewingbridge_hops_total{";

  void RecordHop(const std::string& bytes) {
    http::request_parser<http::string_body> parser;
    ErrorCode code;
    parser.put(asio::buffer(bytes), code);
    if (std::optional<HopRequest> hop = GetHopRequest(parser.get())) {
      const std::lock_guard guard(this->hops_mutex);
      this->received_hops.push_back(std::move(*hop));
    }
  }

  std::mutex hops_mutex;
  std::vector<HopRequest> received_hops;
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

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_REQUEST_DAEMON_H_
