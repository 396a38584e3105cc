// Guards against responses that break off when their time is over and look whole to a caller that
// waits for the end of the connection, and against receivers that hold a response forever.

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

#include "Fakes/http_loopback.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// More than both sockets hold.
constexpr std::size_t kBodyBytes = std::size_t{24} * 1024 * 1024;

// Sends a long response, without a length to callers of HTTP/1.0.
struct LongResponse {
  Awaitable<void> Send(ServerExchange& exchange) {
    http::response_header<> head;
    head.result(http::status::ok);
    const bool begun = co_await exchange.SendHead(head, std::nullopt);
    const std::string body(kBodyBytes, 'x');
    this->written = begun && co_await exchange.SendPart(body);
    this->returned = true;
    if (this->written) {
      co_await exchange.SendEnd();
    }
  }

  bool written = false;
  bool returned = false;
};

FunctionHandler MakeHandler(LongResponse& response) {
  return FunctionHandler([&response](ServerExchange& exchange) { return response.Send(exchange); });
}

Awaitable<void> SendPartAndThrow(ServerExchange& exchange) {
  http::response_header<> head;
  head.result(http::status::ok);
  co_await exchange.SendHead(head, std::nullopt);
  const std::string part = "half of it";
  co_await exchange.SendPart(part);
  throw std::runtime_error("out of memory");
}

}  // namespace

Test(write_limits, a_response_whose_time_is_over_ends_with_a_reset) {
  LongResponse response;
  FunctionHandler handler = MakeHandler(response);
  handler.limits.idle_timeout = milliseconds(300);
  handler.limits.write_timeout = milliseconds(300);
  HttpLoopback loopback(handler);
  loopback.Write("GET / HTTP/1.0\r\n\r\n");
  loopback.RunFor(milliseconds(900));
  cr_assert(response.returned);
  cr_assert_not(response.written);
  const std::string received = loopback.Read();
  cr_assert_lt(received.size(), kBodyBytes);
  cr_assert(loopback.IsEnded());
  cr_assert(loopback.WasReset(), "%zu bytes look whole", received.size());
}

// Connections between daemons are closed when idle for longer than the other side keeps them, which
// is less than the time for which a receiver may pause.
Test(write_limits, the_limit_of_idle_connections_does_not_end_a_response) {
  LongResponse response;
  FunctionHandler handler = MakeHandler(response);
  handler.limits.idle_timeout = milliseconds(200);
  handler.limits.write_timeout = seconds(10);
  HttpLoopback loopback(handler);
  loopback.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  loopback.RunFor(milliseconds(700));
  cr_assert_not(response.returned);
  const std::string received = loopback.Read();
  cr_assert(response.written);
  cr_assert(received.ends_with("\r\n0\r\n\r\n"), "%zu bytes", received.size());
}

Test(write_limits, a_receiver_that_reads_nothing_ends_the_response) {
  LongResponse response;
  FunctionHandler handler = MakeHandler(response);
  handler.limits.idle_timeout = seconds(30);
  handler.limits.write_timeout = milliseconds(400);
  HttpLoopback loopback(handler);
  loopback.Write("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  loopback.RunFor(milliseconds(200));
  cr_assert_not(response.returned);
  loopback.RunFor(milliseconds(800));
  cr_assert(response.returned);
  cr_assert_eq(handler.closed, 1);
}

Test(write_limits, a_response_that_a_handler_leaves_unfinished_ends_with_a_reset) {
  FunctionHandler handler(SendPartAndThrow);
  HttpLoopback loopback(handler);
  loopback.Write("GET / HTTP/1.0\r\n\r\n");
  const std::string received = loopback.Read();
  cr_assert(loopback.IsEnded());
  cr_assert(loopback.WasReset(), "%s", received.c_str());
}
