// Guards against partial responses, headers of one connection that are forwarded to another,
// and requests that change on their way to the target.
#include <criterion/criterion.h>
#include <httplib.h>

#include <chrono>
#include <string>
#include <string_view>

#include "Daemon/proxy_exchange.h"
#include "Daemon/request_access.h"
#include "Daemon/target_connections.h"
#include "Fakes/keep_alive_target.h"
#include "Fakes/raw_target.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::milliseconds kConnectLimit{1000};
constexpr Duration kTimeLimit = std::chrono::seconds(10);

struct Exchange {
  TargetAttempt attempt;
  std::string sent;
};

httplib::Request MakeRequest(const std::string& method, const std::string& target) {
  httplib::Request request;
  request.method = method;
  request.target = target;
  request.path = target;
  return request;
}

Exchange Send(const httplib::Request& request, const std::string& response,
              const RequestAccess& access = {}) {
  RawTarget target(response);
  TargetConnections connections(1, kConnectLimit);
  Exchange exchange;
  exchange.attempt = SendToTarget(connections, target.GetAddress(), request, kTimeLimit, 3, access);
  const auto requests = target.ListRequests();
  exchange.sent = requests.empty() ? std::string() : requests.front();
  return exchange;
}

// Returns the id of the attempt from the text of a request.
std::string GetAttemptId(const std::string& request) {
  const std::string field = "Lacewing-Attempt-Id: ";
  const std::size_t begin = request.find(field);
  if (begin == std::string::npos) {
    return {};
  }
  const std::size_t from = begin + field.size();
  return request.substr(from, request.find("\r\n", from) - from);
}

std::string MakeRefusal(const std::string& attempt_id) {
  const std::string echo =
      attempt_id.empty() ? std::string() : "Lacewing-Attempt-Id: " + attempt_id + "\r\n";
  return "HTTP/1.1 503 Full\r\nLacewing-Outcome: not-run\r\n" + echo + "Content-Length: 0\r\n\r\n";
}

// Sends two requests to a target that refuses the first and serves the second.
void ExpectRefusalThenResponse(const KeepAliveTarget& target) {
  TargetConnections connections(1, kConnectLimit);
  const httplib::Request request = MakeRequest("POST", "/orders");
  const TargetAttempt first =
      SendToTarget(connections, target.GetAddress(), request, kTimeLimit, 1, {});
  cr_assert_eq(first.outcome, TargetOutcome::kShed);
  const TargetAttempt second =
      SendToTarget(connections, target.GetAddress(), request, kTimeLimit, 1, {});
  cr_assert_eq(second.outcome, TargetOutcome::kOk);
  cr_assert_eq(second.response.body, "done");
}

bool Contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

}  // namespace

Test(proxy_exchange, delivers_a_complete_response) {
  const Exchange exchange =
      Send(MakeRequest("GET", "/designs/1"),
           "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Maker: loom\r\n\r\nhello");
  cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kOk);
  cr_assert_eq(exchange.attempt.response.status, 200);
  cr_assert_eq(exchange.attempt.response.body, "hello");
}

// Guards against a target that learns an API key, or a workspace that the caller made up.
Test(proxy_exchange, replaces_the_headers_of_the_caller_that_tell_the_workspace) {
  httplib::Request request = MakeRequest("GET", "/designs/1");
  request.headers = {{"authorization", "Bearer sesame"},
                     {"Authorization", "Basic sesame"},
                     {"LACEWING-WORKSPACE", "forged"},
                     {"Lacewing-Workspace", "forged"},
                     {"Connection", "Lacewing-Workspace"}};
  const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  RequestAccess access;
  access.has_workspaces = true;
  const Exchange on_public = Send(request, response, access);
  cr_assert_not(Contains(on_public.sent, "sesame") || Contains(on_public.sent, "forged"));
  access.workspace = "press";
  const Exchange keyed = Send(request, response, access);
  cr_assert_not(Contains(keyed.sent, "sesame") || Contains(keyed.sent, "forged"));
  cr_assert(Contains(keyed.sent, "Lacewing-Workspace: press\r\n"));
  request.headers.erase("Connection");
  const Exchange without = Send(request, response);
  cr_assert(Contains(without.sent, "Bearer sesame") && Contains(without.sent, "forged"));
}

Test(proxy_exchange, gives_no_partial_response_when_the_target_closes_early) {
  for (const std::string response :
       {"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n50\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200", ""}) {
    const Exchange exchange = Send(MakeRequest("GET", "/designs/1"), response);
    cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kLostMidRequest, "%s", response.c_str());
    cr_assert(exchange.attempt.response.body.empty());
  }
}

// Guards against a response whose head is taken for another one than the target sent.
Test(proxy_exchange, treats_a_response_whose_head_is_not_well_formed_as_lost) {
  for (const std::string head :
       {"HTTP/1.1 000 Odd\r\n", "HTTP/1.1 600 Odd\r\n", "HTTP/1.1 20 OK\r\n",
        "HTTP/1.1 200 OK\r\nX Odd: 1\r\n", "HTTP/1.1 200 OK\r\nX-Odd: 1\x02\r\n",
        "HTTP/1.1 200 OK\r\nX-Odd: 1\r\n folded\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
        "HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n"}) {
    const Exchange exchange =
        Send(MakeRequest("GET", "/designs/1"), head + "Content-Length: 5\r\n\r\nhello");
    cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kLostMidRequest, "%s", head.c_str());
    cr_assert(exchange.attempt.response.body.empty());
  }
}

// Guards against a trailer that counts as a header.
Test(proxy_exchange, does_not_pass_on_trailers_as_headers) {
  const Exchange exchange = Send(MakeRequest("GET", "/designs/1"),
                                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                 "5\r\nhello\r\n0\r\nX-Late: 1\r\n\r\n");
  cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kOk);
  for (const auto& [name, value] : exchange.attempt.response.headers) {
    cr_assert_neq(name, "X-Late", "%s", value.c_str());
  }
}

// Without a length, the response ends with the connection, so a crash of the target looks like
// the regular end.
Test(proxy_exchange, treats_a_response_without_a_length_as_lost) {
  const Exchange exchange = Send(MakeRequest("GET", "/designs/1"), "HTTP/1.1 200 OK\r\n\r\nhello");
  cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kLostMidRequest);
}

Test(proxy_exchange, accepts_responses_that_have_no_body) {
  const std::string with_length = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n";
  cr_assert_eq(Send(MakeRequest("HEAD", "/designs/1"), with_length).attempt.outcome,
               TargetOutcome::kOk);
  cr_assert_eq(Send(MakeRequest("HEAD", "/designs/1"), "HTTP/1.1 200 OK\r\n\r\n").attempt.outcome,
               TargetOutcome::kOk);
  for (const std::string status : {"204 No Content", "304 Not Modified"}) {
    cr_assert_eq(
        Send(MakeRequest("GET", "/designs/1"), "HTTP/1.1 " + status + "\r\n\r\n").attempt.outcome,
        TargetOutcome::kOk, "%s", status.c_str());
  }
}

Test(proxy_exchange, forwards_the_request_without_headers_of_the_connection) {
  httplib::Request request = MakeRequest("POST", "/orders/a%20b?x=1&y=%2F");
  request.body = "body";
  for (const char* name : {"Connection", "Keep-Alive", "Proxy-Connection", "TE", "Trailer",
                           "Upgrade", "Range", "REMOTE_ADDR", "Lacewing-Depth"}) {
    request.headers.emplace(name, "from-caller");
  }
  request.headers.emplace("X-Order", "kept");
  request.headers.emplace("Idempotency-Key", "key-1");
  const Exchange exchange = Send(request, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  cr_assert(Contains(exchange.sent, "POST /orders/a%20b?x=1&y=%2F HTTP/1.1\r\n"));
  cr_assert(Contains(exchange.sent, "X-Order: kept\r\n"));
  cr_assert(Contains(exchange.sent, "Idempotency-Key: key-1\r\n"));
  cr_assert(Contains(exchange.sent, "Lacewing-Depth: 3\r\n"));
  cr_assert(exchange.sent.ends_with("\r\n\r\nbody"));
  cr_assert_not(Contains(exchange.sent, "from-caller"), "%s", exchange.sent.c_str());
}

Test(proxy_exchange, leaves_out_headers_that_the_connection_header_names) {
  httplib::Request request = MakeRequest("GET", "/designs/1");
  request.headers.emplace("Connection", "close, X-Hop");
  request.headers.emplace("X-Hop", "from-caller");
  const std::string whole =
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: X-Step\r\nX-Step: from-target\r\n\r\n";
  Exchange exchange = Send(request, whole);
  cr_assert_not(Contains(exchange.sent, "X-Hop"), "%s", exchange.sent.c_str());
  httplib::Response response;
  CopyResponse(request, std::move(exchange.attempt.response), response);
  cr_assert_not(response.has_header("X-Step"));
}

// The library would decode these bodies, but the target has to receive the caller's bytes.
Test(proxy_exchange, restores_headers_of_a_protected_body) {
  httplib::Request request = MakeRequest("POST", "/orders");
  request.body = "--b\r\n\r\nx\r\n--b--";
  request.headers = {{"Content-Type", "multipart/form-data; boundary=b"},
                     {"Content-Encoding", "gzip"},
                     {"Lacewing-Held-Content-Type", "forged"}};
  HideBodyHeaders(request);
  cr_assert_not(request.has_header("Content-Type"));
  cr_assert_not(request.is_multipart_form_data());
  const Exchange exchange = Send(request, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  cr_assert(Contains(exchange.sent, "Content-Type: multipart/form-data; boundary=b\r\n"));
  cr_assert(Contains(exchange.sent, "Content-Encoding: gzip\r\n"));
  cr_assert_not(Contains(exchange.sent, "Held"));
  cr_assert_not(Contains(exchange.sent, "forged"));
}

// Guards against a response of a run that promises its caller that the request has not run.
Test(proxy_exchange, a_response_that_is_no_refusal_does_not_state_that_the_request_has_not_run) {
  const Exchange exchange =
      Send(MakeRequest("POST", "/orders"),
           "HTTP/1.1 500 Failed\r\nLacewing-Outcome: not-run\r\nContent-Length: 0\r\n\r\n");
  cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kFailed);
  for (const auto& [name, value] : exchange.attempt.response.headers) {
    cr_assert_neq(name, "Lacewing-Outcome");
  }
}

Test(proxy_exchange, delivers_large_bodies_both_ways) {
  const std::string large(6 << 20, 'x');
  httplib::Request request = MakeRequest("POST", "/orders");
  request.body = large;
  const Exchange exchange =
      Send(request, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(large.size()) +
                        "\r\n\r\n" + large);
  cr_assert_eq(exchange.attempt.outcome, TargetOutcome::kOk);
  cr_assert_eq(exchange.attempt.response.body.size(), large.size());
  cr_assert(exchange.sent.ends_with(large));
}

Test(proxy_exchange, copies_the_response_without_headers_of_the_connection) {
  TargetResponse target_response;
  target_response.status = 201;
  target_response.body = "hello";
  target_response.headers = {{"Connection", "close"},       {"Transfer-Encoding", "chunked"},
                             {"Content-Length", "5"},       {"Content-Type", "text/x"},
                             {"Set-Cookie", "a=1"},         {"Set-Cookie", "b=2"},
                             {"Lacewing-Do-Not-Retry", "1"}};
  httplib::Response response;
  CopyResponse(MakeRequest("GET", "/"), target_response, response);
  cr_assert_eq(response.status, 201);
  cr_assert_eq(response.body, "hello");
  cr_assert_eq(response.get_header_value("Content-Type"), "text/x");
  cr_assert_eq(response.get_header_value_count("Set-Cookie"), 2U);
  cr_assert_eq(response.headers.size(), 3U);
}

// If a target writes a refusal twice, the second copy must not be taken for the response to the
// next request, which would then look as if it had not run.
Test(proxy_exchange, ignores_a_repeated_refusal_of_an_earlier_request) {
  KeepAliveTarget target(
      [](const std::string&, int number) -> TargetReply {
        return {number == 1 ? MakeRefusal("") + MakeRefusal("")
                            : "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"};
      },
      "");
  ExpectRefusalThenResponse(target);
}

// The target repeats the refusal after the next request has been written. Nothing could be read
// on the connection when that request took it.
Test(proxy_exchange, skips_a_late_refusal_of_an_earlier_attempt) {
  std::string first_id;
  KeepAliveTarget target(
      [&first_id](const std::string& sent, int number) -> TargetReply {
        const std::string id = GetAttemptId(sent);
        if (number == 1) {
          first_id = id;
          return {MakeRefusal(id)};
        }
        return {MakeRefusal(first_id) + "HTTP/1.1 200 OK\r\nLacewing-Attempt-Id: " + id +
                "\r\nContent-Length: 4\r\n\r\ndone"};
      },
      "");
  ExpectRefusalThenResponse(target);
}

Test(proxy_exchange, endless_responses_are_lost_within_the_time_limit) {
  using std::chrono::milliseconds;
  const std::string headers = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const TargetReply& reply :
       {TargetReply{"HTTP/1.1 200 OK\r\n", "X-Pad: " + std::string(1000, 'x') + "\r\n"},
        TargetReply{"", "HTTP/1.1 100 Continue\r\n\r\n"},
        TargetReply{headers, "1\r\nx\r\n", milliseconds(20)},
        TargetReply{"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", milliseconds(20)}}) {
    KeepAliveTarget target([&](const std::string&, int) { return reply; }, "");
    TargetConnections connections(1, kConnectLimit);
    const TargetAttempt attempt =
        SendToTarget(connections, target.GetAddress(), MakeRequest("GET", "/designs/1"),
                     milliseconds(400), 1, {});
    cr_assert_eq(attempt.outcome, TargetOutcome::kLostMidRequest);
  }
}
