#ifndef LACEWINGBRIDGE_SOURCE_NODE_OPERATOR_HANDLER_H_
#define LACEWINGBRIDGE_SOURCE_NODE_OPERATOR_HANDLER_H_

#include <string>
#include <string_view>

#include "Http/server_connection.h"
#include "Http/server_limits.h"
#include "Proxy/proxy_context.h"

namespace lacewingbridge {

// Serves operators: the state of the daemon as JSON on /dump, what happened to a request that was
// not served on /requests/ID, and metrics in the Prometheus text format on any other path.
class OperatorHandler {
 public:
  static constexpr std::string_view kDumpPath = "/dump";
  static constexpr std::string_view kRequestPrefix = "/requests/";

  explicit OperatorHandler(const ProxyContext& proxy_context) : context(proxy_context) {}

  Awaitable<void> Handle(IoShard& shard, ServerExchange& exchange);
  bool MayRepeat(const ServerExchange&) const { return true; }
  ServerLimits GetLimits() const { return {}; }
  void NoteOpened() {}
  void NoteClosed() {}
  void NoteBusy() {}
  void NoteIdle() {}

 private:
  std::string FormatMetrics() const;
  std::string FormatDump() const;

  ProxyContext context;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_OPERATOR_HANDLER_H_
