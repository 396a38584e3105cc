#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PEER_EXCHANGE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PEER_EXCHANGE_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"

namespace lacewingbridge {

// Shorter than the time for which daemons keep idle connections of each other open.
inline constexpr Duration kPeerIdleLimit = std::chrono::seconds(4);

struct PeerExchangeLimits {
  Duration connect{0};
  Duration response{0};
  // Oldest idle connection that may carry the request; 0 always opens a new one.
  Duration max_idle{0};
  std::size_t max_bytes = 0;
};

// Sends a request to another daemon and decodes its response. Returns nothing unless the response
// is whole and says 200.
template <typename Reply>
Awaitable<std::optional<Reply>> ExchangeWithPeer(IoShard& shard, std::string address,
                                                 OutboundExchange::Request request,
                                                 PeerExchangeLimits limits) {
  OutboundExchange exchange(shard, address);
  request.set(http::field::host, address);
  const OutboundOptions options{limits.connect, limits.max_idle, limits.max_idle};
  const ExchangeStatus status = co_await exchange.Start(request, nullptr, limits.response, options);
  std::optional<Reply> reply;
  if (status == ExchangeStatus::kOk && exchange.GetHead().result() == http::status::ok) {
    std::string body;
    const BodyStatus read = co_await exchange.ReadBody(body, limits.max_bytes);
    Reply decoded;
    if (read == BodyStatus::kComplete && Decode(body, decoded)) {
      reply = std::move(decoded);
    }
  }
  exchange.Finish();
  co_return reply;
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PEER_EXCHANGE_H_
