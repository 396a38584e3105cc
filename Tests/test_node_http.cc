// Guards against requests that are mixed up, smuggled or lost on a connection, responses that look
// complete although they are not, and callers whose disconnection is not detected.

#include <algorithm>
#include <string>
#include <vector>

#include "Fakes/http_loopback.h"
#include "Http/async_signal.h"
#include "Http/outbound_exchange.h"
#include "Proxy/header_fields.h"
#include "Proxy/response_relay.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Responds with the target and the body of the request.
Awaitable<void> SendEcho(ServerExchange& exchange) {
  ServerExchange::Answer response(http::status::ok, 11);
  std::string body = exchange.GetBody();
  std::string part;
  while (!exchange.IsBodyComplete()) {
    const bool read_ok = co_await exchange.ReadBodyPart(part);
    if (!read_ok) {
      co_return;
    }
    body += part;
  }
  response.body() = std::string(exchange.GetTarget()) + "|" + body + "\n";
  co_await exchange.Send(std::move(response));
}

Awaitable<void> SendPartAndAbort(ServerExchange& exchange) {
  http::response_header<> head;
  head.result(http::status::ok);
  co_await exchange.SendHead(head, std::nullopt);
  const std::string part = "half of it";
  co_await exchange.SendPart(part);
  exchange.Abort();
}

// Handles a request until the caller disconnects (Run), or until the test notifies finish
// (RunThenEcho).
struct WaitingHandler {
  Awaitable<void> Run(ServerExchange& exchange) {
    AsyncSignal signal(*this->context);
    this->running = true;
    exchange.SetGoneListener([this, &signal] {
      this->left = true;
      signal.Notify();
    });
    co_await signal.WaitFor(seconds(60));
    this->running = false;
  }

  Awaitable<void> RunThenEcho(ServerExchange& exchange) {
    AsyncSignal signal(*this->context);
    this->finish = &signal;
    co_await signal.WaitFor(seconds(60));
    this->finish = nullptr;
    co_await SendEcho(exchange);
  }

  asio::io_context* context = nullptr;
  AsyncSignal* finish = nullptr;
  bool running = false;
  bool left = false;
};

std::vector<std::string> GetLines(const std::string& text, const std::string& mark) {
  std::vector<std::string> lines;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t end = std::min(text.find('\n', begin), text.size());
    const std::string line = text.substr(begin, end - begin);
    if (line.find(mark) != std::string::npos) {
      lines.push_back(line);
    }
    begin = end + 1;
  }
  return lines;
}

}  // namespace

Test(node_http, responds_to_pipelined_requests_in_order_for_any_split_of_the_bytes) {
  cr_assert(rc::check([] {
    FunctionHandler handler(SendEcho);
    HttpLoopback loopback(handler);
    std::string bytes;
    std::vector<std::string> expected;
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 5);
    for (std::size_t i = 0; i < count; ++i) {
      const std::string body(*rc::gen::inRange<std::size_t>(0, 30), 'x');
      const std::string target = "/r" + std::to_string(i);
      if (*rc::gen::arbitrary<bool>()) {
        bytes += "POST " + target +
                 " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
                 "\r\n\r\n" + body;
      } else {
        bytes += "POST " + target + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
        if (!body.empty()) {
          const char digits[] = "0123456789abcdef";
          bytes += std::string(1, digits[body.size() / 16]) + digits[body.size() % 16] + "\r\n" +
                   body + "\r\n";
        }
        bytes += "0\r\n\r\n";
      }
      expected.push_back(target + "|" + body);
    }
    std::string received;
    const std::size_t cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
    loopback.Write(bytes.substr(0, cut));
    received += loopback.Read();
    loopback.Write(bytes.substr(cut));
    received += loopback.Read();
    RC_ASSERT(GetLines(received, "|") == expected);
    loopback.Close();
    loopback.Read();
  }));
}

Test(node_http, refuses_requests_whose_framing_is_ambiguous) {
  const std::vector<std::string> kHeads = {
      "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
      "Content-Length: 5\r\nContent-Length: 6\r\n",
      "Content-Length: -1\r\n",
      "Content-Length: 5\r\n\r\nhello GET /smuggled HTTP/1.1\r\n",
  };
  for (const std::string& head : kHeads) {
    FunctionHandler handler(SendEcho);
    HttpLoopback loopback(handler);
    loopback.Write("POST /first HTTP/1.1\r\nHost: a\r\n" + head +
                   "\r\nhelloGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string received = loopback.Read();
    cr_assert(received.find("/smuggled|") == std::string::npos, "%s", received.c_str());
    cr_assert(received.find("400") != std::string::npos, "%s", received.c_str());
  }
}

Test(node_http, refuses_headers_and_bodies_above_the_limits) {
  FunctionHandler handler(SendEcho);
  handler.limits.max_header_bytes = 300;
  handler.limits.max_body_bytes = 10;
  HttpLoopback head(handler);
  head.Write("GET / HTTP/1.1\r\nHost: a\r\nLong: " + std::string(400, 'x') + "\r\n\r\n");
  cr_assert(head.Read().find("HTTP/1.1 431") == 0);
  HttpLoopback body(handler);
  body.Write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\nhello world");
  cr_assert(body.Read().find("HTTP/1.1 413") == 0);
  cr_assert(body.IsEnded());
}

Test(node_http, times_out_a_request_whose_headers_arrive_too_slowly) {
  FunctionHandler handler(SendEcho);
  handler.limits.header_timeout = milliseconds(10);
  HttpLoopback loopback(handler);
  loopback.Write("GET /slow HTTP/1.1\r\nHo");
  cr_assert(loopback.Read().find("HTTP/1.1 408") == 0);
}

Test(node_http, detects_that_a_caller_disconnects_while_its_request_runs) {
  WaitingHandler waiting;
  FunctionHandler handler([&waiting](ServerExchange& exchange) { return waiting.Run(exchange); });
  HttpLoopback loopback(handler);
  waiting.context = &loopback.GetShard().GetContext();
  loopback.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  loopback.Read();
  cr_assert(waiting.running);
  loopback.Close();
  loopback.Read();
  cr_assert(waiting.left);
  cr_assert(!waiting.running);
  cr_assert_eq(handler.closed, 1);
}

// Guards against a slow request that delays the start of a quick one that is pipelined behind it.
Test(node_http, handles_pipelined_requests_concurrently_and_responds_in_order) {
  WaitingHandler waiting;
  std::vector<std::string> handled;
  FunctionHandler handler([&](ServerExchange& exchange) {
    handled.emplace_back(exchange.GetTarget());
    return exchange.GetTarget() == "/slow" ? waiting.RunThenEcho(exchange) : SendEcho(exchange);
  });
  HttpLoopback loopback(handler);
  waiting.context = &loopback.GetShard().GetContext();
  loopback.Write(
      "GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /quick HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /change HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
  cr_assert(loopback.Read().empty());
  cr_assert(handled == std::vector<std::string>({"/slow", "/quick"}));
  waiting.finish->Notify();
  const std::string received = loopback.Read();
  const std::vector<std::string> lines = GetLines(received, "|");
  cr_assert(lines == std::vector<std::string>({"/slow|", "/quick|", "/change|"}), "%s",
            received.c_str());
}

// Guards against a busy loop: a connection that was closed by its last response used to keep its
// thread busy until the client disconnected.
Test(node_http, is_idle_while_a_closed_connection_waits_for_its_client) {
  FunctionHandler handler([](ServerExchange& exchange) {
    exchange.CloseAfter();
    return SendEcho(exchange);
  });
  HttpLoopback loopback(handler);
  loopback.Write("GET /last HTTP/1.1\r\nHost: a\r\n\r\nGET /un");
  loopback.Read();
  loopback.GetShard().GetContext().restart();
  // Each wake-up runs a handler. An idle connection has a few timers at most.
  cr_assert_leq(loopback.GetShard().GetContext().poll(), 10);
  loopback.Close();
  loopback.Read();
  cr_assert_eq(handler.closed, 1);
}

Test(node_http, an_aborted_response_does_not_look_complete) {
  FunctionHandler handler(SendPartAndAbort);
  HttpLoopback loopback(handler);
  loopback.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  const std::string received = loopback.Read();
  cr_assert(received.find("\r\n0\r\n") == std::string::npos);
  cr_assert(loopback.IsEnded());
}

Test(node_http, connection_headers_and_daemon_headers_are_not_forwarded) {
  http::fields from;
  from.set("Connection", "keep-alive, X-Private");
  from.set("X-Private", "1");
  from.set("Transfer-Encoding", "chunked");
  from.set("Lacewing-Hop", "forged");
  from.set("lacewing-hop-report", "forged");
  from.set("X-Kept", "2");
  http::fields to;
  CopyEndToEndHeaders(from, to);
  cr_assert_eq(std::distance(to.begin(), to.end()), 1);
  cr_assert(to["X-Kept"] == "2");
}

Test(node_http, hop_messages_are_decoded_from_their_headers) {
  HopRequest hop;
  hop.service = "book";
  hop.time_left_ms = 1234;
  hop.idempotent = true;
  http::fields fields;
  SetHopRequest(fields, hop);
  cr_assert(GetHopRequest(fields) == hop);
  fields.set("Lacewing-Hop", "no base64!");
  cr_assert(!GetHopRequest(fields).has_value());
}
