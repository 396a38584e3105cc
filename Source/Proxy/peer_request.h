#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PEER_REQUEST_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PEER_REQUEST_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Admission/target_admission.h"
#include "Http/async_result.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Http/outbound_exchange.h"
#include "Http/server_exchange.h"
#include "Proxy/crash_containment.h"
#include "Proxy/header_fields.h"
#include "Proxy/link_relay.h"
#include "Proxy/mesh_state.h"
#include "Proxy/proxy_context.h"
#include "Proxy/proxy_wire.h"
#include "Proxy/response_relay.h"
#include "Proxy/target_gate.h"

namespace lacewingbridge {

// A request from another daemon, at the daemon beside the target: waits for a slot, forwards the
// request to the target, and reports its outcome with the response.
class PeerRequest {
 public:
  PeerRequest(const ProxyContext& proxy_context, IoShard& io_shard, ServerExchange& server_exchange,
              HopRequest hop_request);

  template <ProxyWire Wire>
  Awaitable<void> Run() {
    this->request_id = Wire::ReadCallerHeaders(this->exchange.GetHead()).request_id;
    const bool contained = co_await this->WaitForContainment();
    if (contained) {
      co_return;
    }
    const bool admitted = co_await this->WaitForSlot();
    if (!admitted) {
      this->EndContainment();
      co_return;
    }
    OutboundExchange::Request request = this->MakeTargetRequest(Wire::GetAccessHeaders());
    Wire::WriteTargetHeaders(request, this->MakeTargetHeaders());
    ExchangeStatus status = co_await this->SendToTarget(request);
    for (int skipped = 0; status == ExchangeStatus::kOk; ++skipped) {
      const TargetResponseHeaders headers = Wire::ReadResponseHeaders(this->to_target->GetHead());
      co_await BufferResponse(*this->to_target, this->buffered,
                              BufferedResponse::kMaxBufferedBytes);
      if (headers.request_id == this->request_id) {
        if (!this->IsFromThisHost()) {
          co_await BufferForLink(this->context.gate, *this->to_target, this->buffered);
        }
        if (headers.load.has_value() && headers.load->work_percent.has_value()) {
          this->context.gate.RecordWorkPercent(GetNow(), *headers.load->work_percent);
        }
        this->DetermineOutcome(headers);
        break;
      }
      // A surplus response to an earlier request arrives before the response to this one.
      if (skipped >= kMaxSurplusResponses) {
        status = ExchangeStatus::kLost;
        break;
      }
      this->buffered = BufferedResponse();
      status = co_await this->to_target->ReadNextHead();
    }
    co_await this->CheckTarget(status);
    this->EndContainment();
    co_await this->FinishHop(status);
  }

 private:
  static constexpr int kMaxSurplusResponses = 2;

  using SlotWait = AsyncResult<bool>;

  // Registers the request with the containment and waits while it must not start beside another
  // request. Returns true if the request was refused instead. Otherwise it counts as running until
  // EndContainment.
  Awaitable<bool> WaitForContainment();
  void EndContainment();
  // Returns whether the target gate admitted the request. If not, the refusal has been sent, unless
  // the caller's daemon has disconnected.
  Awaitable<bool> WaitForSlot();
  // Waits until the gate admits or refuses a queued request, or the caller's daemon disconnects.
  Awaitable<bool> WaitForAdmission(const std::shared_ptr<SlotWait>& wait);
  TargetHeaders MakeTargetHeaders() const;
  // Makes the request as it is forwarded, without the headers of the platform.
  OutboundExchange::Request MakeTargetRequest(const AccessHeaders& names) const;
  Awaitable<ExchangeStatus> SendToTarget(const OutboundExchange::Request& request);
  bool IsFromThisHost() const;
  // Returns the probability that the run counts as a repeat.
  double GetRepeatShare() const;
  // Whether the retry budgets have room for the calls of this repeated run.
  bool HasRoomForCalls() const;
  // After a lost connection, checks whether the target crashed while it ran its requests.
  Awaitable<void> CheckTarget(ExchangeStatus status);
  // Determines the outcome from the headers and the first part of the body of the response.
  void DetermineOutcome(const TargetResponseHeaders& headers);
  // Returns what the end of the request says about the target.
  RunResult GetRunResult(ExchangeStatus status) const;
  // Frees the slot and sends the response and the report to the caller's daemon.
  Awaitable<void> FinishHop(ExchangeStatus status);
  Awaitable<void> SendRefused(std::string_view why);
  // Sends a refusal for a request that the target has not received.
  Awaitable<void> SendWithoutRun(HopOutcome how, std::string_view why);
  HopReport MakeReport();
  void Log(const HopReport& report, unsigned status) const;

  const ProxyContext& context;
  IoShard& shard;
  ServerExchange& exchange;
  const HopRequest hop;
  const TimePoint arrived_at;
  std::string request_id;
  TimePoint started_at;
  WorkOffer offer;
  TargetStart target;
  std::unique_ptr<OutboundExchange> to_target;
  BufferedResponse buffered;
  HopOutcome outcome = HopOutcome::kUnknown;
  std::string reason;
  bool call_failed = false;
  // Set if the request was refused because its workspace is beyond its share of the target.
  Duration share_wait{0};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PEER_REQUEST_H_
