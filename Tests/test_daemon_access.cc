// Guards against requests that a daemon of the rules file serves without an API key or for the
// wrong workspace, keys that are denied although a newer version may have them, and workspaces that
// share idempotency keys.
#include <fmt/format.h>
#include <httplib.h>

#include <boost/asio/read.hpp>
#include <memory>
#include <string>
#include <vector>

#include "Core/digest.h"
#include "Daemon/claim_service.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/daemon_settings_loader.h"
#include "Daemon/http_listener.h"
#include "Daemon/peer_client.h"
#include "Daemon/proxy_exchange.h"
#include "Daemon/proxy_handler.h"
#include "Daemon/request_access.h"
#include "Daemon/rules_state.h"
#include "Daemon/service_table.h"
#include "Daemon/target_connections.h"
#include "Daemon/work_queue.h"
#include "Fakes/raw_target.h"
#include "Http/asio_types.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Rules/rules_delta.h"
#include "Version/route_snapshot.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kSettings =
    "host = \"host-1\"\ndata_centre = \"dc-1\"\nregion = \"carolinas\"\n"
    "caller_address = \"127.0.0.1:7000\"\ncontrol_address = \"127.0.0.1:7001\"\n"
    "store_address = \"127.0.0.1:1\"\nlog_level = \"error\"\n";

const std::string kRoutes =
    "service designs slots=9  # Ana: designs\n"
    "route lookup path=/designs service=designs idempotent=yes  # Ana: lookups\n"
    "route health path=/health service=designs idempotent=yes public=yes  # Ana: checks\n"
    "limit lookups route=lookup rate=1 burst=100  # Ana: bound\n";

const std::string kKeyedRoute =
    "route orders path=/orders service=designs methods=POST key=required  # Ana: orders\n";
const std::string kKeyedPublicRoute =
    "route orders path=/orders service=designs methods=POST key=required public=yes"
    "  # Ana: orders\n";

std::string MakeWorkspaceLine(const std::string& name, const std::string& api_key) {
  return "workspace " + name + " keys=" + FormatHex(ComputeSha256(api_key)) + "  # Ana: customer\n";
}

std::string MakeBearer(const std::string& api_key) { return "Bearer " + api_key; }

// A version 7 UUID of the present.
std::string MakeTimedKey() {
  const std::string digits = fmt::format("{:012x}", GetUnixMilliseconds());
  return digits.substr(0, 8) + "-" + digits.substr(8) + "-7abc-9def-0123456789ab";
}

// The request path of a daemon, with one target.
struct Fixture {
  explicit Fixture(const std::string& rules_text)
      : settings(GetValue(DaemonSettingsLoader::LoadText(kSettings, "daemon.toml"))) {
    EventLog::Configure("host-1", "error");
    this->HoldRules(1, rules_text);
  }

  void HoldRules(std::uint64_t number, const std::string& text) {
    RulesVersion version;
    version.stamp = {number, ComputeDigest(text)};
    version.text = text;
    if (const auto held = this->rules.GetHeld()) {
      RulesDeltaScript delta = RulesDelta::Compute(held->text, text);
      delta.parent = held->stamp;
      delta.result = version.stamp;
      const auto outcome = this->rules.OfferDelta(delta);
      cr_assert(IsOk(outcome) && GetValue(outcome) == OfferOutcome::kApplied);
    } else {
      cr_assert_eq(this->rules.Offer(version), OfferOutcome::kApplied);
    }
    MemberRecord member;
    member.host = "host-1";
    member.region = "carolinas";
    member.data_centre = "dc-1";
    member.state = MemberState::kAlive;
    member.targets = {{"designs", this->target.GetAddress(), 9, false, 0, 1}};
    const std::vector<MemberRecord> members = {member};
    this->rules.RebuildSnapshot(members);
    this->services.ApplySnapshot(*this->rules.GetSnapshot(), members, GetNow());
  }

  httplib::Response Get(const std::string& path, const httplib::Headers& headers = {}) {
    httplib::Request request;
    request.method = "GET";
    request.target = path;
    request.path = path;
    request.headers = headers;
    httplib::Response response;
    this->handler.Handle(request, response);
    return response;
  }

  // Sends the bytes to the handler through a listener, and returns all bytes of the responses.
  std::string SendBytes(const std::string& bytes) {
    const std::string address = FindFreeAddress();
    HttpListener listener(2);
    listener.SetRequestHook(HideBodyHeaders);
    listener.GetServer().Get(".*", [this](const auto& request, auto& response) {
      this->handler.Handle(request, response);
    });
    cr_assert(IsOk(listener.Start(address)));
    asio::io_context context;
    TcpSocket socket(context);
    const std::uint16_t port =
        static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
    socket.connect({asio::ip::address_v4::loopback(), port});
    asio::write(socket, asio::buffer(bytes));
    socket.shutdown(TcpSocket::shutdown_send);
    std::string received;
    ErrorCode code;
    asio::read(socket, asio::dynamic_buffer(received), code);
    return received;
  }

  httplib::Response GetWithKey(const std::string& authorization) {
    return this->Get("/designs/1", {{"Authorization", authorization}});
  }

  void OwnAllKeys() {
    cr_assert(this->claims->AdoptMap(ClaimOwnerMap{1, {"host-1"}, {1}, 0}, GetNow()));
  }

  httplib::Response PostOrder(const std::string& key, const std::string& api_key) {
    httplib::Request request;
    request.method = "POST";
    request.target = "/orders";
    request.path = "/orders";
    request.body = "one print";
    request.headers = {{"Authorization", MakeBearer(api_key)}, {kKeyHeader, key}};
    httplib::Response response;
    this->handler.Handle(request, response);
    return response;
  }

  Settings settings;
  bool newest = true;
  RawTarget target{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"};
  RulesState rules;
  ServiceTable services{"dc-1", "carolinas", 1};
  MetricsRegistry metrics{1};
  TargetConnections targets{1, std::chrono::seconds(1)};
  TargetConnections connections{1, std::chrono::seconds(1)};
  PeerClient peers{this->connections, this->metrics, std::chrono::seconds(1)};
  WorkQueue work{1, 1};
  std::unique_ptr<ClaimService> claims =
      GetValue(ClaimService::Create(this->settings, 1, GetNow(), this->peers, this->work,
                                    [](std::string_view) { return std::string(); }));
  ProxyHandler handler{{this->settings, 1, this->rules, this->services, *this->claims,
                        this->targets, this->metrics, [] { return true; },
                        [this](const VersionStamp&) { return this->newest; }}};
};

void AssertDenied(const httplib::Response& response, const std::string& what) {
  cr_assert_eq(response.status, 401, "%s: %d", what.c_str(), response.status);
  cr_assert_eq(response.get_header_value("WWW-Authenticate"), "Bearer");
  cr_assert_eq(response.get_header_value(kOutcomeHeader), kNotRunOutcome);
  cr_assert(response.body.find("sesame") == std::string::npos, "%s", response.body.c_str());
}

}  // namespace

Test(access, a_route_needs_a_key_of_a_workspace_unless_it_is_public) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  cr_assert_eq(fixture.GetWithKey(MakeBearer("sesame")).status, 200);
  cr_assert(fixture.target.ListRequests().back().find("Lacewing-Workspace: press\r\n") !=
            std::string::npos);
  AssertDenied(fixture.Get("/designs/1"), "no key");
  AssertDenied(fixture.GetWithKey(MakeBearer("open-sesame")), "unknown key");
  cr_assert_eq(
      fixture
          .Get("/health", {{"Authorization", MakeBearer("sesame")}, {kWorkspaceHeader, "forged"}})
          .status,
      200);
  cr_assert_eq(fixture.target.ListRequests().size(), 2U);
  for (const std::string& sent : fixture.target.ListRequests()) {
    cr_assert(sent.find("sesame") == std::string::npos && sent.find("forged") == std::string::npos);
  }
  cr_assert(fixture.metrics.Format("").find("sesame") == std::string::npos);
}

Test(access, odd_keys_count_as_none) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  const std::string long_key(100'000, 'k');
  for (const std::string& value :
       {std::string(), std::string("Bearer"), std::string("Bearer "), std::string("sesame"),
        std::string("Basic sesame"), std::string("Bearer sesame sesame"),
        std::string("Bearer sesame,sesame"), std::string("Bearer Sesame"), MakeBearer(long_key)}) {
    AssertDenied(fixture.GetWithKey(value), value.substr(0, 40));
  }
  AssertDenied(fixture.Get("/designs/1", {{"Authorization", MakeBearer("sesame")},
                                          {"authorization", MakeBearer("sesame")}}),
               "two headers");
  AssertDenied(fixture.Get("/designs/1", {{kWorkspaceHeader, "press"}}), "forged workspace");
  cr_assert(fixture.target.ListRequests().empty());
  cr_assert_eq(fixture.GetWithKey("bearer  sesame").status, 200);
}

// Guards against headers and requests that the daemon does not see, but writes to the target.
Test(access, a_request_whose_head_is_not_well_formed_is_refused) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  for (const std::string line :
       {"Authorization : Bearer sesame", "Lacewing-Workspace : forged",
        "Lacewing-Workspace\t: forged", " Lacewing-Workspace: forged", "X(A): b", ": b",
        "X-A: b%0d%0aLacewing-Workspace: forged", "X-A: b%0aLacewing-Workspace: forged",
        "X-A: b%0d%0a%0d%0aGET /designs/9 HTTP/1.1%0d%0aHost: a", "X-A: b%00", "X-A: b%7f",
        "X-A: b%u000ac", "X-A: b\x01", "X-A: b\rLacewing-Workspace: forged",
        "Location: /\rLacewing-Workspace: forged", "Content-Type: a%0d%0aX-B: c",
        "Content-Length : 5"}) {
    // The second request must not be read either, because the length of the first is not certain.
    const std::string received =
        fixture.SendBytes("GET /health HTTP/1.1\r\nHost: a\r\n" + line +
                          "\r\n\r\nGET /health HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(received.starts_with("HTTP/1.1 400 "), "%s: %s", line.c_str(), received.c_str());
    cr_assert(received.find("Lacewing-Outcome: not-run\r\n") != std::string::npos);
    cr_assert(received.find("HTTP/1.1", 1) == std::string::npos, "%s", line.c_str());
  }
  for (const std::string target : {"/health?a=\rX", "/health?\x01", "/health?a\tb", "/health?\x7f",
                                   "/health?a b", "/health?a=\nX"}) {
    const std::string received =
        fixture.SendBytes("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n");
    cr_assert(received.starts_with("HTTP/1.1 400 "), "%s: %s", target.c_str(), received.c_str());
  }
  // The patterns of the library match no line end in a path.
  cr_assert(fixture.SendBytes("GET /health/\rX HTTP/1.1\r\nHost: a\r\n\r\n")
                .starts_with("HTTP/1.1 404 "));
  cr_assert(fixture.target.ListRequests().empty());
  const std::string received = fixture.SendBytes(
      "GET /health?a=%0d%0ab HTTP/1.1\r\nHost: a\r\nX-A: b\tc \xc3\xa4%20d\r\n\r\n");
  cr_assert(received.starts_with("HTTP/1.1 200 "), "%s", received.c_str());
  cr_assert(fixture.target.ListRequests().back().starts_with("GET /health?a=%0d%0ab HTTP/1.1\r\n"));
}

// Refused callers must not use up a limit of those that have a key.
Test(access, denied_requests_take_no_token_of_a_limit) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  for (int i = 0; i < 200; ++i) {
    fixture.Get("/designs/1");
  }
  cr_assert_eq(fixture.GetWithKey(MakeBearer("sesame")).status, 200);
}

Test(access, only_a_daemon_that_knows_of_no_newer_version_denies_a_key_for_good) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  fixture.newest = false;
  const httplib::Response unsure = fixture.GetWithKey(MakeBearer("new-key"));
  cr_assert_eq(unsure.status, 503);
  cr_assert_eq(unsure.get_header_value(kOutcomeHeader), kNotRunOutcome);
  cr_assert_eq(unsure.get_header_value("Retry-After"), "1");
  cr_assert_not(unsure.has_header("WWW-Authenticate"));
  cr_assert_eq(fixture.GetWithKey(MakeBearer("sesame")).status, 200);
  cr_assert_eq(fixture.Get("/health").status, 200);
  fixture.HoldRules(2, kRoutes + MakeWorkspaceLine("film", "new-key"));
  cr_assert_eq(fixture.GetWithKey(MakeBearer("new-key")).status, 200);
  fixture.newest = true;
  AssertDenied(fixture.GetWithKey(MakeBearer("sesame")), "removed key");
}

Test(access, without_workspaces_headers_pass_unchanged) {
  Fixture fixture(kRoutes);
  cr_assert_eq(fixture.Get("/designs/1").status, 200);
  cr_assert_eq(fixture.GetWithKey(MakeBearer("sesame")).status, 200);
  cr_assert(fixture.target.ListRequests().back().find("Bearer sesame") != std::string::npos);
}

Test(access, a_waiting_request_loses_its_access_with_its_key) {
  Fixture fixture(kRoutes + MakeWorkspaceLine("press", "sesame"));
  RequestAccess access;
  access.version = fixture.rules.GetSnapshot()->GetVersion();
  access.has_workspaces = true;
  access.workspace = "press";
  access.key_digest = ComputeDigest("sesame");
  cr_assert(IsAccessCurrent(*fixture.rules.GetSnapshot(), access));
  fixture.HoldRules(
      2, kRoutes + MakeWorkspaceLine("press", "sesame") + MakeWorkspaceLine("film", "other"));
  cr_assert(IsAccessCurrent(*fixture.rules.GetSnapshot(), access));
  fixture.HoldRules(3, kRoutes + MakeWorkspaceLine("film", "sesame"));
  cr_assert_not(IsAccessCurrent(*fixture.rules.GetSnapshot(), access));
  fixture.HoldRules(4, kRoutes + MakeWorkspaceLine("press", "other"));
  cr_assert_not(IsAccessCurrent(*fixture.rules.GetSnapshot(), access));
  access.workspace.clear();
  cr_assert(IsAccessCurrent(*fixture.rules.GetSnapshot(), access));
}

// A request must not run a second time because the rules changed between it and its repetition.
Test(access, a_keyed_request_runs_once_whatever_its_workspace_becomes) {
  const std::string press = MakeWorkspaceLine("press", "sesame");
  const std::string film = MakeWorkspaceLine("film", "other");
  const std::string keyed = kRoutes + kKeyedRoute;
  const std::string open = kRoutes + kKeyedPublicRoute;
  struct Change {
    const char* what;
    std::string before;
    std::string after;
    int status;
  };
  const Change changes[] = {
      {"first workspace", keyed, keyed + press, 200},
      {"last workspace removed", keyed + press, keyed, 200},
      {"route becomes public", keyed + press, open + press, 200},
      {"route needs a key", open + press, keyed + press, 200},
      {"other workspace added", keyed + press, keyed + press + film, 200},
      {"workspace renamed", keyed + press, keyed + MakeWorkspaceLine("print", "sesame"), 422},
      {"digest moved", keyed + press, keyed + MakeWorkspaceLine("film", "sesame"), 422},
  };
  for (const Change& change : changes) {
    Fixture fixture(change.before);
    fixture.OwnAllKeys();
    const std::string timed = MakeTimedKey();
    for (const std::string& key : {std::string("k-1"), timed}) {
      cr_assert_eq(fixture.PostOrder(key, "sesame").status, 200, "%s", change.what);
    }
    fixture.HoldRules(2, change.after);
    for (const std::string& key : {std::string("k-1"), timed}) {
      const httplib::Response response = fixture.PostOrder(key, "sesame");
      cr_assert_eq(response.status, change.status, "%s: %d", change.what, response.status);
    }
    cr_assert_eq(fixture.target.ListRequests().size(), 2U, "%s", change.what);
  }
}

Test(access, no_workspace_gets_the_stored_response_of_another) {
  Fixture fixture(kRoutes + kKeyedRoute + MakeWorkspaceLine("press", "sesame") +
                  MakeWorkspaceLine("film", "other"));
  fixture.OwnAllKeys();
  cr_assert_eq(fixture.PostOrder("k-1", "sesame").status, 200);
  const httplib::Response foreign = fixture.PostOrder("k-1", "other");
  cr_assert_eq(foreign.status, 422);
  cr_assert_eq(foreign.get_header_value(kOutcomeHeader), kNotRunOutcome);
  cr_assert_eq(fixture.PostOrder("k-1", "sesame").body, "ok");
  cr_assert_eq(fixture.target.ListRequests().size(), 1U);
}
