#include "Proxy/peer_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/link_relay.h"
#include "Retry/request_progress.h"

namespace lacewingbridge {

namespace {

// Short, because the target is on the same host.
constexpr Duration kConnectLimit = std::chrono::milliseconds(250);
// Assumed idle timeout of a target's connections. It applies only to targets that do not state
// their own; most do.
constexpr Duration kAssumedTargetIdleLimit = std::chrono::seconds(4);
// A request that must not run twice is not sent on a connection that has been idle for longer than
// this: a target may drop idle connections without notice, and the request would be lost with an
// unknown outcome.
constexpr Duration kMaxIdleForUnsafe = std::chrono::milliseconds(1500);
// Maximum time without data within a response that has started.
constexpr Duration kMaxResponseSilence = std::chrono::seconds(5);
// Interval at which waiting requests check their deadline.
constexpr Duration kExpiryInterval = std::chrono::milliseconds(25);
// Time in which the operating system closes all sockets of a process that has ended. In an earlier
// check the target may still seem to listen, and the crash would not be detected.
constexpr Duration kCloseTime = std::chrono::milliseconds(10);
// Interval at which a request that must not run beside another request, one that has crashed a
// target, checks whether that request has ended.
constexpr Duration kContainmentCheckInterval = std::chrono::milliseconds(10);
// Divisor: such a request waits here for at most this fraction of its remaining time. After that,
// another target is the better choice.
constexpr int kContainmentWaitDivisor = 4;

// Whether a final response may have this status (RFC 9110, section 15).
constexpr bool IsFinalStatus(unsigned status) { return status >= 200 && status <= 599; }

}  // namespace

PeerRequest::PeerRequest(const ProxyContext& proxy_context, IoShard& io_shard,
                         ServerExchange& server_exchange, HopRequest hop_request)
    : context(proxy_context),
      shard(io_shard),
      exchange(server_exchange),
      hop(std::move(hop_request)),
      arrived_at(GetNow()) {
  this->offer.priority = this->hop.priority;
  this->offer.work_class = this->hop.work_class;
  this->offer.deadline = this->arrived_at + std::chrono::milliseconds(this->hop.time_left_ms);
  this->offer.objective_at =
      this->arrived_at + std::chrono::milliseconds(this->hop.objective_left_ms);
  this->offer.workspace = this->hop.workspace;
}

Awaitable<bool> PeerRequest::WaitForContainment() {
  CrashContainment& containment = this->context.containment;
  containment.Merge(this->arrived_at, this->hop.service, this->hop.strikes);
  this->target = {this->context.state.GetIdentity().target_address,
                  this->context.gate.GetTargetStartUnixMs()};
  const TimePoint until =
      this->arrived_at + (this->offer.deadline - this->arrived_at) / kContainmentWaitDivisor;
  AsyncSignal containment_timer(this->shard.GetContext());
  while (true) {
    const TimePoint now = GetNow();
    const QuarantineDecision decision =
        containment.TryStart(now, this->hop.service, this->hop.fingerprint, this->target);
    if (decision == QuarantineDecision::kRun) {
      co_return false;
    }
    if (decision == QuarantineDecision::kQuarantined) {
      co_await this->SendWithoutRun(HopOutcome::kQuarantined, "crashes_targets");
      co_return true;
    }
    if (now >= until || this->exchange.IsCallerGone()) {
      co_await this->SendRefused("beside_crashing_request");
      co_return true;
    }
    co_await containment_timer.WaitFor(kContainmentCheckInterval);
  }
}

void PeerRequest::EndContainment() {
  const HopEnd end{this->outcome, this->buffered.headers.result_int()};
  this->context.containment.RecordRunEnd(GetNow(), this->hop.service, this->hop.fingerprint,
                                         this->target, ProvesNoCrash(end));
}

Awaitable<void> PeerRequest::CheckTarget(ExchangeStatus status) {
  const bool broken = status == ExchangeStatus::kOk && this->buffered.status == BodyStatus::kBroken;
  if (this->exchange.IsCallerGone() || (status != ExchangeStatus::kLost && !broken)) {
    co_return;
  }
  CrashContainment& containment = this->context.containment;
  containment.RecordLostConnection(GetNow(), this->hop.service, this->hop.fingerprint,
                                   this->target);
  if (!this->context.gate.TakeListenCheck(GetNow())) {
    co_return;
  }
  asio::steady_timer timer(this->shard.GetContext(), kCloseTime);
  ErrorCode code;
  co_await timer.async_wait(AwaitInto(code));
  OutboundExchange probe(this->shard, this->target.address);
  co_await probe.Probe(kConnectLimit);
  if (probe.WasRefused()) {
    this->context.gate.HandleConnectionRefused(GetNow());
    containment.RecordRefusedConnection(GetNow(), this->hop.service, this->target);
  }
}

Awaitable<bool> PeerRequest::WaitForSlot() {
  if (!this->context.stage.MayTake(this->arrived_at, this->offer.deadline, this->hop.idempotent)) {
    co_await this->SendRefused("stopping");
    co_return false;
  }
  if (this->hop.repeated && !this->HasRoomForCalls()) {
    co_await this->SendRefused("no_retry_budget");
    co_return false;
  }
  auto wait = std::make_shared<SlotWait>(this->shard.GetContext());
  const GateVerdict verdict =
      this->context.gate.Offer(this->arrived_at, this->hop, this->offer,
                               [wait, &io = this->shard.GetContext()](bool admitted) {
                                 asio::post(io, [wait, admitted] { wait->Set(admitted); });
                               });
  if (verdict == GateVerdict::kAdmitted) {
    if (this->exchange.CheckCallerGone()) {
      this->context.gate.Finish(GetNow(), this->offer.id, RunResult::kNoResult);
      co_return false;
    }
    co_return true;
  }
  if (verdict == GateVerdict::kBeyondShare) {
    this->share_wait = this->context.gate.GetShareWait(this->arrived_at, this->hop.workspace);
    this->context.metrics.AddNamedCount("share_refusals_total", "workspace", this->hop.workspace,
                                        "at=\"target\"");
  }
  if (verdict != GateVerdict::kQueued) {
    co_await this->SendRefused(DescribeGateVerdict(verdict));
    co_return false;
  }
  const bool admitted = co_await this->WaitForAdmission(wait);
  if (!admitted) {
    if (!this->exchange.IsCallerGone()) {
      co_await this->SendRefused(DescribeGateVerdict(GateVerdict::kNoCapacity));
    }
    co_return false;
  }
  co_return true;
}

Awaitable<bool> PeerRequest::WaitForAdmission(const std::shared_ptr<SlotWait>& wait) {
  this->exchange.SetGoneListener([wait] { wait->signal.Notify(); });
  while (!wait->value.has_value() && !this->exchange.IsCallerGone()) {
    co_await wait->signal.WaitFor(kExpiryInterval);
    if (!wait->value.has_value()) {
      this->context.gate.Expire(GetNow());
    }
  }
  this->exchange.SetGoneListener(nullptr);
  if (this->exchange.CheckCallerGone()) {
    const bool refused = wait->value.has_value() && !*wait->value;
    if (!refused && this->context.gate.Cancel(GetNow(), this->offer.id)) {
      this->context.gate.Finish(GetNow(), this->offer.id, RunResult::kNoResult);
    }
    co_return false;
  }
  co_return *wait->value;
}

TargetHeaders PeerRequest::MakeTargetHeaders() const {
  TargetHeaders headers;
  headers.time_left = std::max(this->offer.deadline - GetNow(), Duration{0});
  headers.target_id = this->hop.target_id;
  headers.caller_service = this->hop.caller_service;
  headers.workspace = this->hop.workspace;
  return headers;
}

OutboundExchange::Request PeerRequest::MakeTargetRequest(const AccessHeaders& names) const {
  OutboundExchange::Request request = MakeForwardedRequest(this->exchange);
  // The caller's daemon may still have a version without workspaces.
  const std::shared_ptr<const RouteIndex> index = this->context.state.GetIndex();
  if (!this->hop.workspace.empty() ||
      (index != nullptr && index->GetWorkspaces().HasWorkspaces())) {
    RemoveAccessHeaders(names, request);
  }
  return request;
}

Awaitable<ExchangeStatus> PeerRequest::SendToTarget(const OutboundExchange::Request& request) {
  this->started_at = GetNow();
  this->context.gate.RecordRunStart(this->started_at, this->GetRepeatShare());
  this->to_target = std::make_unique<OutboundExchange>(
      this->shard, this->context.state.GetIdentity().target_address);
  this->exchange.SetGoneListener([this] { this->to_target->Cancel(); });
  const OutboundExchange::BodyWriter rest = [this](TcpSocket& to) {
    return RelayRequestBody(this->exchange, !this->exchange.GetLength().has_value(), to);
  };
  const OutboundOptions options{
      kConnectLimit, this->hop.idempotent ? kAssumedTargetIdleLimit * 10 : kMaxIdleForUnsafe,
      kAssumedTargetIdleLimit};
  const ExchangeStatus status =
      co_await this->to_target->Start(request, this->exchange.IsBodyComplete() ? nullptr : &rest,
                                      this->offer.deadline - this->started_at, options);
  this->to_target->LimitSilence(kMaxResponseSilence);
  co_return status;
}

double PeerRequest::GetRepeatShare() const { return this->hop.repeat_percent / 100.0; }

bool PeerRequest::HasRoomForCalls() const {
  TargetGate& gate = this->context.gate;
  return this->context.state.HasRoomForCalls(this->arrived_at, gate.GetRunningRepeats() + 1,
                                             gate.CountRuns(this->arrived_at));
}

void PeerRequest::DetermineOutcome(const TargetResponseHeaders& headers) {
  const unsigned status = this->buffered.headers.result_int();
  const bool success = http::to_status_class(status) == http::status_class::successful;
  if (headers.not_run || this->buffered.headers.result() == http::status::misdirected_request) {
    this->outcome = HopOutcome::kNotRun;
    this->reason = "target_refused";
  } else if (this->buffered.status == BodyStatus::kBroken) {
    this->reason = "answer_broke_off";
  } else if (headers.is_encoded || (success && !headers.has_signature) || !IsFinalStatus(status)) {
    this->reason = "answer_not_of_target";
  } else {
    this->outcome = HopOutcome::kAnswered;
  }
}

bool PeerRequest::IsFromThisHost() const {
  return this->hop.sender == this->context.state.GetIdentity().peer_address;
}

HopReport PeerRequest::MakeReport() {
  HopReport report = this->context.gate.MakeReport(GetNow(), this->offer);
  report.outcome = this->outcome;
  report.reason = this->reason;
  this->context.state.FillVersion(GetNow(), report);
  report.hop_id = this->hop.hop_id;
  report.call_failed = this->call_failed;
  report.share_wait_ms = static_cast<std::uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(this->share_wait).count());
  report.strikes =
      this->context.containment.TakeOutgoing(GetNow(), this->hop.service, this->hop.fingerprint);
  return report;
}

RunResult PeerRequest::GetRunResult(ExchangeStatus status) const {
  if (this->outcome == HopOutcome::kAnswered) {
    const bool failed = http::to_status_class(this->buffered.headers.result_int()) ==
                        http::status_class::server_error;
    if (!failed) {
      return RunResult::kServed;
    }
    return this->call_failed ? RunResult::kNoResult : RunResult::kFailed;
  }
  const bool lost = this->outcome == HopOutcome::kUnknown && status != ExchangeStatus::kTimedOut &&
                    status != ExchangeStatus::kCancelled && !this->exchange.IsCallerGone();
  return lost ? RunResult::kFailed : RunResult::kNoResult;
}

Awaitable<void> PeerRequest::FinishHop(ExchangeStatus status) {
  const TimePoint now = GetNow();
  this->context.gate.RecordRunEnd(this->GetRepeatShare());
  this->call_failed = this->context.gate.HasFailedCallSince(this->started_at);
  if (status == ExchangeStatus::kNotConnected) {
    this->context.gate.HandleConnectionRefused(now);
    if (this->to_target->WasRefused()) {
      this->context.containment.RecordRefusedConnection(now, this->hop.service, this->target);
    }
    this->outcome = HopOutcome::kRefused;
    this->reason = "target_unreachable";
  } else if (status != ExchangeStatus::kOk) {
    this->reason = status == ExchangeStatus::kTimedOut ? "target_timed_out" : "target_lost";
  }
  const RunResult result = this->GetRunResult(status);
  const bool streaming =
      this->outcome == HopOutcome::kAnswered && this->buffered.status == BodyStatus::kMore;
  if (streaming) {
    // The caller's daemon ends a long response when its caller stops waiting.
    this->to_target->SetEnd(std::nullopt);
  }
  if (!streaming) {
    this->to_target->Finish();
    this->context.gate.Finish(now, this->offer.id, result);
  }
  if (this->context.stage.IsStopping()) {
    this->exchange.CloseAfter();
  }
  if (!this->exchange.IsCallerGone()) {
    HopReport report = this->MakeReport();
    if (this->outcome != HopOutcome::kAnswered) {
      this->buffered = BufferedResponse();
      this->buffered.headers.result(http::status::service_unavailable);
      this->buffered.status = BodyStatus::kComplete;
    }
    this->Log(report, this->buffered.headers.result_int());
    http::response_header<> headers;
    // The number, because the list of statuses of the library is not complete.
    headers.result(this->buffered.headers.result_int());
    headers.reason(this->buffered.headers.reason());
    CopyEndToEndHeaders(this->buffered.headers, headers);
    SetHopReport(headers, report);
    this->buffered.headers = std::move(headers);
    // Traffic between two daemons of one host does not use the link.
    if (this->IsFromThisHost()) {
      co_await RelayResponse(*this->to_target, this->buffered, this->exchange);
    } else {
      const LinkTransfer sent = co_await RelayOnLink(
          this->context.gate, this->shard, *this->to_target, this->buffered, this->exchange);
      LogLongResponse(this->request_id, sent, this->arrived_at);
    }
  }
  if (streaming) {
    this->to_target->Finish();
    this->context.gate.Finish(GetNow(), this->offer.id, result);
  }
  this->exchange.SetGoneListener(nullptr);
}

Awaitable<void> PeerRequest::SendRefused(std::string_view why) {
  co_await this->SendWithoutRun(HopOutcome::kRefused, why);
}

Awaitable<void> PeerRequest::SendWithoutRun(HopOutcome how, std::string_view why) {
  this->outcome = how;
  this->reason = std::string(why);
  const HopReport report = this->MakeReport();
  this->Log(report, static_cast<unsigned>(http::status::service_unavailable));
  ServerExchange::Answer response(http::status::service_unavailable, 11);
  SetHopReport(response, report);
  this->context.gate.ReserveLink(GetNow(), 0);
  co_await this->exchange.Send(std::move(response));
}

void PeerRequest::Log(const HopReport& report, unsigned status) const {
  EventLog::Write(
      Event::kTargetHopEnded,
      "request={} sender={} target={} workspace={} outcome={} reason={} status={} priority={} "
      "running={} waiting={} slots={} work_class={} class_time_ms={} service_time_ms={} "
      "waited_ms={} predicted_ms={} objective_ms={} link_wait_ms={} work_percent={} "
      "share_wait_ms={} after_ms={}",
      this->request_id, this->hop.sender, report.target_id,
      this->hop.workspace.empty() ? "none" : this->hop.workspace, GetName(report.outcome),
      report.reason, status, this->hop.priority, report.running, report.waiting, report.slots,
      report.work_class, report.class_time_ms, report.service_time_ms,
      this->started_at == TimePoint() ? 0 : CountMilliseconds(this->started_at - this->arrived_at),
      this->offer.predicted_end == TimePoint()
          ? 0
          : CountMilliseconds(this->offer.predicted_end - this->arrived_at),
      CountMilliseconds(this->offer.objective_at - this->arrived_at), report.link_wait_ms,
      report.work_percent, report.share_wait_ms, CountMilliseconds(GetNow() - this->arrived_at));
}

}  // namespace lacewingbridge
