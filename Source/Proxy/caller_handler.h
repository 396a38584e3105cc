#ifndef LACEWINGBRIDGE_SOURCE_PROXY_CALLER_HANDLER_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_CALLER_HANDLER_H_

#include <chrono>
#include <memory>

#include "Http/server_connection.h"
#include "Http/server_limits.h"
#include "Proxy/caller_request.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/mesh_state.h"
#include "Proxy/proxy_context.h"
#include "Proxy/proxy_wire.h"

namespace lacewingbridge {

// Returns the limits for callers from the version in force. Limits that the version does not state
// have the defaults of ServerLimits, as do all limits while there is no version.
inline ServerLimits MakeCallerLimits(const RouteIndex* index) {
  ServerLimits limits;
  if (index == nullptr) {
    return limits;
  }
  const CallerLimits& stated = index->GetTable().limits;
  if (stated.max_header_bytes > 0) {
    limits.max_header_bytes = stated.max_header_bytes;
  }
  if (stated.max_body_bytes > 0) {
    limits.max_body_bytes = stated.max_body_bytes;
  }
  if (stated.header_timeout_ms > 0) {
    limits.header_timeout = std::chrono::milliseconds(stated.header_timeout_ms);
  }
  if (stated.idle_timeout_ms > 0) {
    limits.idle_timeout = std::chrono::milliseconds(stated.idle_timeout_ms);
  }
  return limits;
}

// Handles the outbound requests of this host: those of its callers and of its local target.
template <ProxyWire Wire>
class CallerHandler {
 public:
  explicit CallerHandler(const ProxyContext& proxy_context) : context(proxy_context) {}

  Awaitable<void> Handle(IoShard& shard, ServerExchange& exchange) {
    CallerRequest request(this->context, shard, exchange,
                          Wire::ReadCallerHeaders(exchange.GetHead()), Wire::GetAccessHeaders());
    co_await request.Run();
  }

  bool MayRepeat(const ServerExchange& exchange) const {
    const std::shared_ptr<const RouteIndex> index = this->context.state.GetIndex();
    const HostRoute* route =
        index == nullptr ? nullptr : index->Find(exchange.GetHeader("Host"), exchange.GetTarget());
    return route == nullptr || route->idempotent;
  }
  ServerLimits GetLimits() const { return MakeCallerLimits(this->context.state.GetIndex().get()); }
  void NoteOpened() { this->context.stage.RecordConnectionOpened(); }
  void NoteClosed() { this->context.stage.RecordConnectionClosed(); }
  void NoteBusy() { this->context.stage.RecordConnectionBusy(); }
  void NoteIdle() { this->context.stage.RecordConnectionIdle(); }

 private:
  ProxyContext context;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_CALLER_HANDLER_H_
