#ifndef LACEWINGBRIDGE_SOURCE_NODE_METRICS_HANDLER_H_
#define LACEWINGBRIDGE_SOURCE_NODE_METRICS_HANDLER_H_

#include "Http/server_connection.h"
#include "Http/server_limits.h"
#include "Proxy/proxy_context.h"

namespace lacewingbridge {

// Counters, latency histograms and gauges in the Prometheus text format, on any path.
class MetricsHandler {
 public:
  explicit MetricsHandler(const ProxyContext& proxy_context) : context(proxy_context) {}

  Awaitable<void> Handle(IoShard& shard, ServerExchange& exchange);
  ServerLimits GetLimits() const { return {}; }
  void NoteOpened() {}
  void NoteClosed() {}

 private:
  ProxyContext context;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_METRICS_HANDLER_H_
