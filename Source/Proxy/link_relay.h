#ifndef LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_

#include <cstdint>
#include <string_view>

#include "Core/time_point.h"
#include "Http/outbound_exchange.h"
#include "Http/server_exchange.h"
#include "Proxy/response_relay.h"

namespace lacewingbridge {

class IoShard;
class TargetGate;

// Reads the rest of a response that will wait for the link, so that its sender can finish before
// the wait.
Awaitable<void> BufferForLink(const TargetGate& gate, OutboundExchange& from,
                              BufferedResponse& buffered);

// Result of sending a response.
struct LinkTransfer {
  std::uint64_t bytes = 0;
  // The reserved time of a long response on a slow link; zero otherwise.
  LinkReservation reservation;
};

// Sends the response over the link of this host. If the link is slow, a long response is sent in
// parts in its reserved time.
Awaitable<LinkTransfer> RelayOnLink(TargetGate& gate, IoShard& shard, OutboundExchange& from,
                                    BufferedResponse& buffered, ServerExchange& to);

// Logs when a response with reserved time on the link was sent. arrived_at is the time at which its
// request arrived at this host.
void LogLongResponse(std::string_view request_id, const LinkTransfer& sent, TimePoint arrived_at);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_
