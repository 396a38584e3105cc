#include "Node/metrics_handler.h"

#include <fmt/format.h>

#include <utility>

#include "Http/boot_clock.h"
#include "Observe/metrics_registry.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/mesh_state.h"
#include "Proxy/target_gate.h"

namespace lacewingbridge {

Awaitable<void> MetricsHandler::Handle(IoShard&, ServerExchange& exchange) {
  const HopReport report = this->context.gate.MakeReport(GetNow(), 0);
  const std::string gauges = fmt::format(
      "lacewingbridge_table_version {}\nlacewingbridge_hosts {}\n"
      "lacewingbridge_target_running {}\nlacewingbridge_target_waiting {}\n"
      "lacewingbridge_target_slots {}\nlacewingbridge_target_accepting {}\n"
      "lacewingbridge_requests_open {}\nlacewingbridge_connections_open {}\n",
      this->context.state.GetTableVersion(), this->context.state.GetHosts().size(), report.running,
      report.waiting, report.slots, report.accepting ? 1 : 0, this->context.stage.GetRequestCount(),
      this->context.stage.GetConnectionCount());
  ServerExchange::Answer answer(http::status::ok, 11);
  answer.set(http::field::content_type, "text/plain; version=0.0.4");
  answer.body() = this->context.metrics.Format(gauges);
  co_await exchange.Send(std::move(answer));
}

}  // namespace lacewingbridge
