#ifndef LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_

#include <cstdint>

#include "Http/outbound_exchange.h"
#include "Http/server_exchange.h"
#include "Proxy/answer_relay.h"

namespace lacewingbridge {

class IoShard;
class TargetGate;

// Reads the rest of an answer that will wait for the link, so that its sender is done with
// it before.
Awaitable<void> HoldForLink(const TargetGate& gate, OutboundExchange& from, HeldAnswer& held);

// Passes the answer on over the link of this host: a long one in its turn, if the link is
// slow. Returns the number of bytes of the body.
Awaitable<std::uint64_t> RelayOnLink(TargetGate& gate, IoShard& shard, OutboundExchange& from,
                                     HeldAnswer& held, ServerExchange& to);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_LINK_RELAY_H_
