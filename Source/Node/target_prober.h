#ifndef LACEWINGBRIDGE_SOURCE_NODE_TARGET_PROBER_H_
#define LACEWINGBRIDGE_SOURCE_NODE_TARGET_PROBER_H_

#include <string>

#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"
#include "Observe/event_log.h"
#include "Proxy/mesh_state.h"
#include "Proxy/proxy_wire.h"
#include "Proxy/target_gate.h"

namespace lacewingbridge {

// Sends health checks to the local target until its state is confirmed.
template <ProxyWire Wire>
class TargetProber {
 public:
  TargetProber(IoShard& io_shard, MeshState& mesh_state, TargetGate& target_gate)
      : shard(io_shard), state(mesh_state), gate(target_gate) {}

  // Sends a health check if one is due. Returns whether it did.
  Awaitable<bool> ProbeIfDue() {
    const MeshIdentity& self = this->state.GetIdentity();
    const std::shared_ptr<const RouteIndex> index = this->state.GetIndex();
    const MeshService* service = index == nullptr ? nullptr : index->FindService(self.service);
    if (service == nullptr || !this->gate.TakeHealthCheckTurn(GetNow())) {
      co_return false;
    }
    OutboundExchange exchange(this->shard, self.target_address);
    OutboundExchange::Request request(http::verb::get, service->health_path, 11);
    request.set(http::field::host, self.target_address);
    const OutboundOptions options{kConnectLimit, Duration{0}, Duration{0}};
    const ExchangeStatus status =
        co_await exchange.Start(request, nullptr, kResponseLimit, options);
    BodyStatus read = BodyStatus::kBroken;
    http::response_header<> head;
    if (status == ExchangeStatus::kOk) {
      // Reading the body adds its trailers to the head of the exchange.
      head = exchange.GetHead();
      read = co_await SkipBody(exchange);
    }
    if (read == BodyStatus::kComplete) {
      const TargetResponseHeaders headers = Wire::ReadResponseHeaders(head);
      const bool healthy = head.result() == http::status::ok && !headers.not_run;
      this->gate.HandleHealthResponse(GetNow(), healthy, headers.target_id,
                                      headers.load.has_value() ? headers.load->slots : 0);
      EventLog::Write(Event::kTargetState, "target={} healthy={} status={}", headers.target_id,
                      healthy, head.result_int());
    }
    exchange.Finish();
    co_return true;
  }

 private:
  // The target is on the same host, so connecting is fast, but its health check waits for a slot.
  static constexpr Duration kConnectLimit = std::chrono::milliseconds(250);
  static constexpr Duration kResponseLimit = std::chrono::milliseconds(600);
  static constexpr std::size_t kPartBytes = 4096;
  static constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;

  // Reads the body to its end, for as long as the time limit of the exchange allows. Leaves the
  // rest of a body that is too long, which counts as no response.
  static Awaitable<BodyStatus> SkipBody(OutboundExchange& exchange) {
    BodyStatus read = BodyStatus::kMore;
    std::size_t size = 0;
    while (read == BodyStatus::kMore && size <= kMaxBodyBytes) {
      std::string part;
      read = co_await exchange.ReadBody(part, kPartBytes);
      size += part.size();
    }
    co_return size <= kMaxBodyBytes ? read : BodyStatus::kMore;
  }

  IoShard& shard;
  MeshState& state;
  TargetGate& gate;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_NODE_TARGET_PROBER_H_
