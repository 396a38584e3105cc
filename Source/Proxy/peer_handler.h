#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PEER_HANDLER_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PEER_HANDLER_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "Http/server_connection.h"
#include "Http/server_limits.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/header_fields.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_request.h"
#include "Proxy/proxy_context.h"
#include "Proxy/proxy_wire.h"
#include "Proxy/quota_asker.h"
#include "mesh_codec.h"

namespace lacewingbridge {

// Path from which other daemons fetch the version in force and the hosts.
inline constexpr char kSnapshotPath[] = "/lacewingbridge/snapshot";
// Path from which other daemons read how much of the store's state this daemon knows.
inline constexpr char kProgressPath[] = "/lacewingbridge/progress";

// Handles the requests of other daemons: requests for the local target, for the version and hosts
// that this daemon has or how new they are, and for credit of workspaces.
template <ProxyWire Wire>
class PeerHandler {
 public:
  explicit PeerHandler(const ProxyContext& proxy_context) : context(proxy_context) {}

  Awaitable<void> Handle(IoShard& shard, ServerExchange& exchange) {
    const RequestScope scope(this->context.stage);
    if (this->context.stage.IsStopping()) {
      exchange.CloseAfter();
    }
    std::optional<HopRequest> hop = GetHopRequest(exchange.GetHead());
    if (!hop.has_value()) {
      co_await this->HandleDaemonRequest(exchange);
      co_return;
    }
    if (hop->table_version > this->context.state.GetTableVersion()) {
      this->context.on_newer_table(hop->sender);
    }
    PeerRequest request(this->context, shard, exchange, std::move(*hop));
    co_await request.template Run<Wire>();
  }

  bool MayRepeat(const ServerExchange&) const { return true; }
  ServerLimits GetLimits() const {
    ServerLimits limits;
    // Longer than the idle timeout on the other side of a connection between daemons.
    limits.idle_timeout = std::chrono::seconds(10);
    return limits;
  }
  void NoteOpened() {}
  void NoteClosed() {}
  void NoteBusy() { this->context.stage.RecordConnectionBusy(); }
  void NoteIdle() { this->context.stage.RecordConnectionIdle(); }

 private:
  Awaitable<void> HandleDaemonRequest(ServerExchange& exchange) {
    ServerExchange::Answer response(http::status::bad_request, 11);
    const std::shared_ptr<const RouteIndex> index = this->context.state.GetIndex();
    if (exchange.GetTarget() == kProgressPath) {
      response.result(http::status::ok);
      response.body() = Encode(this->context.state.GetProgress(GetNow()));
    } else if (exchange.GetTarget() == kQuotaPath && exchange.IsBodyComplete()) {
      response.body() =
          AnswerQuotaAsk(this->context.state, this->context.quotas, exchange.GetBody());
      response.result(response.body().empty() ? http::status::bad_request : http::status::ok);
    } else if (exchange.GetTarget() == kSnapshotPath && index != nullptr) {
      PeerSnapshot snapshot;
      snapshot.table = index->GetTable();
      snapshot.hosts = this->context.state.GetHosts();
      response.result(http::status::ok);
      response.body() = Encode(snapshot);
    }
    co_await exchange.Send(std::move(response));
  }

  ProxyContext context;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PEER_HANDLER_H_
