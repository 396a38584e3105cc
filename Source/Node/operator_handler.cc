#include "Node/operator_handler.h"

#include <fmt/format.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

#include "Http/boot_clock.h"
#include "Observe/metrics_registry.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/mesh_state.h"
#include "Proxy/recent_requests.h"
#include "Proxy/target_gate.h"
#include "mesh_codec.h"

namespace lacewingbridge {

std::string OperatorHandler::FormatMetrics() const {
  const HopReport report = this->context.gate.MakeReport(GetNow(), WorkOffer());
  std::string gauges = fmt::format(
      "lacewingbridge_table_version {}\nlacewingbridge_hosts {}\n"
      "lacewingbridge_target_running {}\nlacewingbridge_target_waiting {}\n"
      "lacewingbridge_target_slots {}\nlacewingbridge_target_accepting {}\n"
      "lacewingbridge_requests_open {}\nlacewingbridge_connections_open {}\n",
      this->context.state.GetTableVersion(), this->context.state.GetHosts().size(), report.running,
      report.waiting, report.slots, report.accepting ? 1 : 0, this->context.stage.GetRequestCount(),
      this->context.stage.GetConnectionCount());
  if (const std::optional<Duration> age = this->context.state.GetProofAge(GetNow())) {
    gauges += fmt::format("lacewingbridge_proof_age_seconds {:.3f}\n",
                          std::chrono::duration<double>(*age).count());
  }
  const TargetAdmission::ShareCounts shares = this->context.gate.CountShares(GetNow());
  if (shares.known > 0) {
    gauges += fmt::format(
        "lacewingbridge_share_workspaces {}\nlacewingbridge_share_workspaces_beyond {}\n",
        shares.known, shares.beyond);
  }
  return this->context.metrics.Format(gauges);
}

std::string OperatorHandler::FormatDump() const {
  const MeshIdentity& self = this->context.state.GetIdentity();
  MeshDump dump;
  dump.host = self.host;
  dump.data_centre = self.data_centre;
  dump.region = self.region;
  if (const std::shared_ptr<const RouteIndex> index = this->context.state.GetIndex()) {
    dump.table_version = index->GetTable().version;
    dump.route_count = static_cast<std::uint32_t>(index->GetTable().routes.size());
  }
  dump.hosts = this->context.state.GetHosts();
  dump.target = this->context.gate.MakeRecord();
  dump.target_report = this->context.gate.MakeReport(GetNow(), WorkOffer());
  dump.open_requests = static_cast<std::uint32_t>(this->context.stage.GetRequestCount());
  dump.open_connections = static_cast<std::uint32_t>(this->context.stage.GetConnectionCount());
  dump.stopping = this->context.stage.IsStopping();
  return EncodeJson(dump);
}

Awaitable<void> OperatorHandler::Handle(IoShard&, ServerExchange& exchange) {
  const std::string_view target = exchange.GetTarget();
  ServerExchange::Answer response(http::status::ok, 11);
  response.set(http::field::content_type, "application/json");
  if (target == kDumpPath) {
    response.body() = this->FormatDump();
  } else if (target.starts_with(kRequestPrefix)) {
    const RequestTraceList found = this->context.recent.Find(target.substr(kRequestPrefix.size()));
    response.result(found.traces.empty() ? http::status::not_found : http::status::ok);
    response.body() = EncodeJson(found);
  } else {
    response.set(http::field::content_type, "text/plain; version=0.0.4");
    response.body() = this->FormatMetrics();
  }
  co_await exchange.Send(std::move(response));
}

}  // namespace lacewingbridge
