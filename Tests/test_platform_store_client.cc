// Guards against a store, a target or another daemon that sends bytes without end: the daemon kept
// them all, and its host ran out of memory.

#include <fmt/format.h>

#include <string>
#include <utility>
#include <vector>

#include "Fakes/keep_alive_target.h"
#include "Fakes/scripted_responder.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"
#include "store_client.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

// A tenth of the memory of the smallest hosts. Most of it is for the buffers of the sockets.
constexpr std::size_t kMaxAcceptedBytes = 16'000'000;
constexpr Duration kLimit = std::chrono::seconds(5);

const std::string kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kItem = R"({"as_of":7,"key":"k","value":"dg==","revision":5})";

std::vector<TargetReply> MakeEndlessReplies() {
  const std::string noise(64'000, 'x');
  const std::string trailer = "X-Pad: " + std::string(1000, 'x') + "\r\n";
  return {{"HTTP/1.1 200 OK\r\nX-Pad: ", noise},
          {"HTTP/1.1 200 OK\r\n", trailer},
          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
          {"", noise},
          {kChunked + "5;a=", noise},
          {kChunked, std::string(64'000, '0')},
          {kChunked + "5\r\nhello\r\n0\r\nX-Pad: ", noise},
          {kChunked + "5\r\nhello\r\n0\r\n", trailer}};
}

// Responds to the first request with the reply and to the others with an item of the store.
KeepAliveTarget::Script MakeScript(const TargetReply& reply) {
  return [reply](const std::string&, int number) -> TargetReply {
    return number == 1
               ? reply
               : TargetReply{"HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kItem.size()) +
                             "\r\n\r\n" + kItem};
  };
}

// What the users of OutboundExchange do: health checks, snapshots and hops.
Awaitable<void> Exchange(IoShard& shard, std::string address, std::size_t max_bytes, bool& ended) {
  OutboundExchange exchange(shard, address);
  OutboundExchange::Request request(http::verb::get, "/", 11);
  const OutboundOptions options{kLimit, Duration{0}, Duration{0}};
  const ExchangeStatus status = co_await exchange.Start(request, nullptr, kLimit, options);
  BodyStatus read = BodyStatus::kBroken;
  std::string body;
  if (status == ExchangeStatus::kOk) {
    read = co_await exchange.ReadBody(body, max_bytes);
  }
  exchange.Finish();
  ended = status != ExchangeStatus::kTimedOut && read == BodyStatus::kBroken;
}

Awaitable<void> GetTwice(PlatformStoreClient& client, Result<StoreItem>& first,
                         Result<StoreItem>& second) {
  first = co_await client.Get("k");
  second = co_await client.Get("k");
}

Awaitable<void> RenewAndEnd(PlatformStoreClient& client, Status& renewed, Status& ended) {
  renewed = co_await client.RenewLease(3);
  ended = co_await client.EndLease(3);
}

}  // namespace

// Guards against a response that was sent before the store was restored and arrives after it.
Test(platform_store_client, responses_of_an_older_era_are_failed_calls) {
  KeepAliveTarget store(
      [](const std::string&, int number) -> TargetReply {
        return {"HTTP/1.1 200 OK\r\nStore-Era: " + std::to_string(number == 1 ? 4 : 3) +
                "\r\nContent-Length: " + std::to_string(kItem.size()) + "\r\n\r\n" + kItem};
      },
      "");
  IoShard shard(1);
  PlatformStoreClient client(shard, store.GetAddress());
  int eras = 0;
  client.SetEraListener([&eras] { ++eras; });
  Result<StoreItem> first = StoreItem();
  Result<StoreItem> second = StoreItem();
  asio::co_spawn(shard.GetContext(), GetTwice(client, first, second), asio::detached);
  shard.GetContext().run();
  cr_assert(IsOk(first));
  cr_assert_not(IsOk(second));
  cr_assert_eq(GetError(second).kind, ErrorKind::kStoreUnavailable);
  cr_assert_eq(client.GetEra(), 4);
  cr_assert_eq(eras, 1);
}

// Guards against a store that refuses to renew a lease with a status that is not known here: its
// daemon would rely on a lease that ends.
Test(platform_store_client, only_a_success_renews_or_ends_a_lease) {
  for (const auto& [status, expected] :
       {std::pair("200 OK", true), std::pair("400 Bad Request", false),
        std::pair("302 Found", false), std::pair("403 Forbidden", false),
        std::pair("503 Unavailable", false)}) {
    KeepAliveTarget store(
        [&status = status](const std::string&, int) -> TargetReply {
          return {std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 2\r\n\r\n{}"};
        },
        "");
    IoShard shard(1);
    PlatformStoreClient client(shard, store.GetAddress());
    Status renewed = MakeOkStatus();
    Status ended = MakeOkStatus();
    asio::co_spawn(shard.GetContext(), RenewAndEnd(client, renewed, ended), asio::detached);
    shard.GetContext().run();
    cr_assert_eq(IsOk(renewed), expected, "%s", status);
    cr_assert_eq(IsOk(ended), expected, "%s", status);
  }
}

Test(platform_store_client, a_trailer_is_no_header) {
  KeepAliveTarget store(
      [](const std::string&, int) -> TargetReply {
        return {kChunked +
                fmt::format("{:x}\r\n{}\r\n0\r\nStore-Era: 9\r\n\r\n", kItem.size(), kItem)};
      },
      "");
  IoShard shard(1);
  PlatformStoreClient client(shard, store.GetAddress());
  Result<StoreItem> first = StoreItem();
  Result<StoreItem> second = StoreItem();
  asio::co_spawn(shard.GetContext(), GetTwice(client, first, second), asio::detached);
  shard.GetContext().run();
  cr_assert(IsOk(first));
  cr_assert_eq(client.GetEra(), 0);
}

// The part is a whole JSON text, so only the end of the connection shows that it is a part.
Test(platform_store_client, a_response_without_a_length_that_is_reset_is_a_failed_call) {
  ScriptedResponder store;
  store.SetScript({"HTTP/1.1 200 OK\r\n\r\n" + kItem, 0, true});
  IoShard shard(1);
  PlatformStoreClient client(shard, store.GetAddress());
  Result<StoreItem> first = StoreItem();
  Result<StoreItem> second = StoreItem();
  asio::co_spawn(shard.GetContext(), GetTwice(client, first, second), asio::detached);
  shard.GetContext().run();
  cr_assert_not(IsOk(first));
  cr_assert_not(IsOk(second));
}

Test(outbound_exchange, bytes_without_end_are_not_kept) {
  for (const TargetReply& reply : MakeEndlessReplies()) {
    for (const std::size_t max_bytes : {std::size_t{4096}, std::size_t{8} << 20U}) {
      KeepAliveTarget target(MakeScript(reply), "");
      IoShard shard(1);
      bool ended = false;
      asio::co_spawn(shard.GetContext(), Exchange(shard, target.GetAddress(), max_bytes, ended),
                     asio::detached);
      shard.GetContext().run();
      cr_assert(ended, "%s", reply.bytes.c_str());
      cr_assert_leq(target.CountEndlessBytes(), kMaxAcceptedBytes, "%s: %zu bytes",
                    reply.bytes.c_str(), target.CountEndlessBytes());
    }
  }
}

Test(platform_store_client, a_response_without_end_is_a_failed_call_and_the_next_one_succeeds) {
  for (const TargetReply& reply : MakeEndlessReplies()) {
    KeepAliveTarget store(MakeScript(reply), "");
    IoShard shard(1);
    PlatformStoreClient client(shard, store.GetAddress());
    Result<StoreItem> first = StoreItem();
    Result<StoreItem> second = StoreItem();
    asio::co_spawn(shard.GetContext(), GetTwice(client, first, second), asio::detached);
    shard.GetContext().run();
    cr_assert_not(IsOk(first), "%s", reply.bytes.c_str());
    cr_assert_eq(GetError(first).kind, ErrorKind::kStoreUnavailable);
    cr_assert_leq(store.CountEndlessBytes(), kMaxAcceptedBytes, "%s: %zu bytes",
                  reply.bytes.c_str(), store.CountEndlessBytes());
    cr_assert(IsOk(second), "%s", reply.bytes.c_str());
    cr_assert_eq(GetValue(second).revision, 7);
  }
}
