// Guards against a store or another daemon that sends bytes without end: lacewingbridged kept them
// all, and its host ran out of memory.
#include <string>
#include <variant>
#include <vector>

#include "Daemon/peer_client.h"
#include "Daemon/store_http_client.h"
#include "Daemon/target_connections.h"
#include "Fakes/keep_alive_target.h"
#include "Observe/metrics_registry.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

// A tenth of the memory of the smallest hosts. Most of it is for the buffers of the sockets.
constexpr std::size_t kMaxAcceptedBytes = 16'000'000;
constexpr milliseconds kLimit{3000};

std::vector<TargetReply> MakeEndlessReplies() {
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
  const std::string noise(64'000, 'x');
  const std::string trailer = "X-Pad: " + std::string(1000, 'x') + "\r\n";
  return {{ok + "X-Pad: ", noise},
          {ok, trailer},
          {chunked + "5;a=", noise},
          {chunked, std::string(64'000, '0')},
          {chunked + "5\r\nhello\r\n0\r\n", trailer},
          {chunked, "3e8\r\n" + std::string(1000, 'x') + "\r\n"},
          {ok + "\r\n", noise}};
}

KeepAliveTarget::Script MakeScript(const TargetReply& reply) {
  return [reply](const std::string&, int) { return reply; };
}

void ExpectBounded(const KeepAliveTarget& server, const TargetReply& reply) {
  cr_assert_leq(server.CountEndlessBytes(), kMaxAcceptedBytes, "%s: %zu bytes", reply.bytes.c_str(),
                server.CountEndlessBytes());
}

}  // namespace

Test(store_http_client, bytes_without_end_are_not_kept) {
  for (const TargetReply& reply : MakeEndlessReplies()) {
    KeepAliveTarget server(MakeScript(reply), "");
    const auto client = std::move(GetValue(StoreHttpClient::Create(server.GetAddress(), kLimit)));
    const auto answer = client->Get(StoreGetRequest());
    cr_assert_not(IsOk(answer), "%s", reply.bytes.c_str());
    cr_assert_eq(GetError(answer).kind, ErrorKind::kStoreUnavailable);
    ExpectBounded(server, reply);
  }
}

Test(store_http_client, cancel_ends_a_call_in_progress) {
  KeepAliveTarget server([](const std::string&, int) { return TargetReply(); }, "");
  const auto client = std::move(GetValue(StoreHttpClient::Create(server.GetAddress(), kLimit)));
  std::thread canceller([&client] {
    std::this_thread::sleep_for(milliseconds(200));
    client->Cancel();
  });
  const auto begin = std::chrono::steady_clock::now();
  cr_assert_not(IsOk(client->Get(StoreGetRequest())));
  cr_assert_lt((std::chrono::steady_clock::now() - begin).count(),
               std::chrono::nanoseconds(kLimit).count());
  canceller.join();
  cr_assert_not(IsOk(client->Get(StoreGetRequest())));
  cr_assert_eq(server.CountRequests(), 1);
}

Test(peer_client, bytes_without_end_are_not_kept) {
  for (const TargetReply& reply : MakeEndlessReplies()) {
    KeepAliveTarget server(MakeScript(reply), "");
    TargetConnections connections(1, kLimit);
    MetricsRegistry metrics(1);
    PeerClient client(connections, metrics, kLimit);
    const auto answer =
        client.Call<ListMembersReply>(server.GetAddress(), kListMembersPath, ListMembersRequest());
    cr_assert(std::holds_alternative<PeerFailure>(answer), "%s", reply.bytes.c_str());
    cr_assert_not(std::get<PeerFailure>(answer).refused);
    ExpectBounded(server, reply);
  }
}
