// Guards against requests that reach another host or the target although their callers had
// disconnected before a daemon without enough processor time read them.

#include <sstream>
#include <string>

#include "Fakes/fake_mesh.h"
#include "Fakes/http_loopback.h"
#include "Fakes/request_daemon.h"
#include "Proxy/header_fields.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

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
void SendTwice(RequestDaemon& daemon, FunctionHandler& handler, const std::string& request) {
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
  RequestDaemon daemon;
  FunctionHandler handler(
      [&daemon](ServerExchange& exchange) { return daemon.HandleCaller(exchange); });
  SendTwice(daemon, handler, MakeCallerRequest());
  cr_assert_eq(daemon.CountHops(), 1);
}

Test(left_callers, their_requests_are_not_sent_to_the_target) {
  RequestDaemon daemon;
  FunctionHandler handler(
      [&daemon](ServerExchange& exchange) { return daemon.HandlePeer(exchange); });
  SendTwice(daemon, handler, MakePeerRequest());
  cr_assert_eq(daemon.CountRuns(), 1);
}
