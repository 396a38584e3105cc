#include "Proxy/caller_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "Core/hash.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Proxy/crash_containment.h"
#include "Proxy/daemon_stage.h"
#include "Proxy/header_fields.h"
#include "Proxy/mesh_state.h"
#include "Proxy/peer_exchange.h"
#include "Proxy/target_gate.h"
#include "Routing/work_class.h"

namespace lacewingbridge {

namespace {

// Longer than the round trip between regions including the retransmission of one lost packet.
constexpr Duration kConnectLimit = std::chrono::milliseconds(300);
// Maximum time without data within a response that has started.
constexpr Duration kMaxResponseSilence = std::chrono::seconds(5);
// Retry-After of a daemon that stops. After this delay callers reach another daemon.
constexpr Duration kStoppingResendDelay = std::chrono::milliseconds(50);
// Retry-After of a daemon without any version. After this delay it is likely to have one.
constexpr Duration kNoTableResendDelay = std::chrono::milliseconds(300);

std::uint32_t CountPositive(Duration duration) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(CountMilliseconds(duration), 0));
}

}  // namespace

CallerRequest::CallerRequest(const ProxyContext& proxy_context, IoShard& io_shard,
                             ServerExchange& server_exchange, const CallerHeaders& caller_headers,
                             const AccessHeaders& access_header_names)
    : context(proxy_context),
      shard(io_shard),
      exchange(server_exchange),
      headers(caller_headers),
      access_headers(access_header_names) {}

bool CallerRequest::FindRoute() {
  this->route = this->index->Find(this->exchange.GetHeader("Host"), this->exchange.GetTarget());
  return this->route != nullptr;
}

void CallerRequest::SetFacts(TimePoint now) {
  const Duration timeout = std::chrono::milliseconds(this->route->timeout_ms);
  this->facts.timeout_at = now + timeout;
  this->facts.deadline = now + this->headers.time_left.value_or(timeout);
  const Duration objective = this->route->objective_ms > 0
                                 ? std::chrono::milliseconds(this->route->objective_ms)
                                 : timeout;
  this->fingerprint =
      CombineHashes(HashBytes(this->exchange.GetTarget()), HashBytes(this->exchange.GetBody()));
  this->crash_fingerprint = CombineHashes(
      ComputeFingerprint(this->route->name, this->context.state.GetIdentity().service),
      this->fingerprint);
  this->first_arrival =
      this->context.state.FindFirstArrival(now, this->route->name, this->fingerprint);
  this->facts.objective_at = this->first_arrival + objective;
  this->facts.max_attempts = std::max(this->route->max_attempts, 1U);
  this->facts.idempotent = this->route->idempotent;
  this->progress.emplace(this->facts);
}

Awaitable<void> CallerRequest::Run() {
  const RequestScope scope(this->context.stage);
  co_await this->Handle();
  if (!this->exchange.IsAnswerComplete()) {
    this->RecordUnanswered();
  }
}

Awaitable<void> CallerRequest::Handle() {
  this->facts.arrived_at = GetNow();
  this->first_arrival = this->facts.arrived_at;
  if (this->context.stage.IsStopping()) {
    this->exchange.CloseAfter();
  }
  if (this->context.stage.IsClosing()) {
    co_await this->SendRefusal(http::status::service_unavailable, "stopping", kStoppingResendDelay);
    co_return;
  }
  this->index = this->context.state.GetIndex();
  if (this->index == nullptr) {
    co_await this->SendRefusal(http::status::service_unavailable, "no_table", kNoTableResendDelay);
    co_return;
  }
  if (!this->FindRoute()) {
    co_await this->SendRefusal(http::status::not_found, "no_route", std::nullopt);
    co_return;
  }
  const bool has_access = co_await this->CheckAccess();
  if (!has_access) {
    co_return;
  }
  const TimePoint now = this->facts.arrived_at;
  this->service = this->context.state.PickDestination(*this->route, this->shard.GetRandom());
  this->SetFacts(now);
  if (!this->context.stage.MayTake(now, this->facts.GetEnd(), this->facts.idempotent)) {
    co_await this->SendRefusal(http::status::service_unavailable, "stopping", kStoppingResendDelay);
    co_return;
  }
  ProgressDecision decision = this->CheckShareRefusals();
  if (decision.action == ProgressAction::kPlace) {
    const bool within_quota = co_await this->TakeQuota();
    if (!within_quota) {
      co_return;
    }
    if (this->credit_taken_at.has_value()) {
      // Refusals may have begun or ended while the request waited for credit.
      decision = this->CheckShareRefusals();
    }
  }
  this->repeat_share = this->context.gate.GetRepeatShare();
  this->context.state.RecordRequest(now, this->service, this->repeat_share);
  this->exchange.SetGoneListener([this] {
    if (this->hop != nullptr) {
      this->hop->Cancel();
    }
  });
  while (decision.action == ProgressAction::kPlace && !this->exchange.CheckCallerGone()) {
    decision = co_await this->PlaceOnce();
  }
  this->ReturnUnusedQuota(decision);
  if (!this->exchange.IsCallerGone()) {
    co_await this->Finish(decision);
  }
  if (this->hop != nullptr) {
    this->hop->Finish();
  }
  this->exchange.SetGoneListener(nullptr);
}

HopRequirements CallerRequest::MakeHopRequirements(TimePoint now) {
  return {this->facts.objective_at - now, this->facts.GetEnd() - now,
          this->context.state.GetResponseBytes(this->route->name),
          ComputeWorkClass(this->route->name), this->GetWork()};
}

Awaitable<ProgressDecision> CallerRequest::PlaceOnce() {
  const TimePoint now = GetNow();
  // Otherwise the end of the daemon would cut a request that waits or is sent from peer to peer.
  this->facts.deadline = std::min(this->facts.deadline, this->context.stage.GetAnswerBy());
  this->progress->LimitDeadline(this->facts.deadline);
  if (now >= this->facts.GetEnd()) {
    co_return this->progress->HandleTimeout();
  }
  if (!this->IsAccessCurrent(now)) {
    co_return this->progress->HandleProofExpired();
  }
  if (this->context.containment.IsContained(now, this->service, this->crash_fingerprint)) {
    const HopEnd contained{HopOutcome::kQuarantined, 0};
    co_return this->context.state.DecideNext(now, this->service, contained, *this->progress);
  }
  const std::optional<HopChoice> choice =
      this->context.state.ChooseHop(now, this->service, this->MakeHopRequirements(now),
                                    this->refused_by, this->shard.GetRandom());
  if (!choice.has_value()) {
    const bool beyond_share =
        this->context.state.IsBeyondShare(now, this->service, this->GetWork(), this->refused_by);
    co_return beyond_share ? this->progress->HandleBeyondShare(now)
                           : this->progress->HandleNoCandidate(now);
  }
  const HopEnd end = co_await this->SendHop(*choice);
  ProgressDecision decision =
      this->context.state.DecideNext(GetNow(), this->service, end, *this->progress);
  if (decision.action == ProgressAction::kPlace) {
    this->refused_by.push_back(choice->peer_address);
    if (this->body_consumed) {
      // The body was longer than the part that is kept in memory, so the request cannot be sent
      // again.
      decision.action =
          this->progress->MayHaveRun() ? ProgressAction::kFailUnknown : ProgressAction::kRefuse;
    }
  }
  co_return decision;
}

OutboundExchange::Request CallerRequest::MakeHopRequest(TimePoint now, const HopChoice& choice) {
  OutboundExchange::Request request = MakeForwardedRequest(this->exchange);
  if (this->index->GetWorkspaces().HasWorkspaces()) {
    RemoveAccessHeaders(this->access_headers, request);
  }
  HopRequest hop_request;
  hop_request.service = this->service;
  hop_request.target_id = choice.target_id;
  hop_request.caller_service = this->context.state.GetIdentity().service;
  hop_request.time_left_ms = CountPositive(this->facts.GetEnd() - now);
  hop_request.objective_left_ms = CountPositive(this->facts.objective_at - now);
  hop_request.priority = this->GetPriority();
  hop_request.work_class = ComputeWorkClass(this->route->name);
  hop_request.idempotent = this->route->idempotent;
  hop_request.has_alternatives = choice.has_alternatives && this->route->idempotent;
  hop_request.repeated = this->progress->IsRetry();
  hop_request.repeat_percent =
      hop_request.repeated ? 100 : static_cast<std::uint32_t>(100 * this->repeat_share);
  hop_request.table_version = this->index->GetTable().version;
  hop_request.sender = this->context.state.GetIdentity().peer_address;
  hop_request.fingerprint = this->crash_fingerprint;
  hop_request.answer_bytes =
      static_cast<std::uint32_t>(this->context.state.GetResponseBytes(this->route->name));
  hop_request.strikes =
      this->context.containment.TakeOutgoing(now, this->service, this->crash_fingerprint);
  hop_request.workspace = this->GetWorkspaceName();
  this->hop_id = this->shard.GetRandom()();
  hop_request.hop_id = this->hop_id;
  SetHopRequest(request, hop_request);
  return request;
}

Awaitable<HopEnd> CallerRequest::SendHop(const HopChoice& choice) {
  const TimePoint now = GetNow();
  const OutboundExchange::Request request = this->MakeHopRequest(now, choice);
  if (this->hop != nullptr) {
    this->hop->Finish();
  }
  this->hop = std::make_unique<OutboundExchange>(this->shard, choice.peer_address);
  this->context.state.RecordHopStart(this->service, choice.peer_address);
  if (choice.peer_address != this->context.state.GetIdentity().peer_address) {
    this->context.gate.ReserveLink(now, request.body().size());
  }
  const OutboundExchange::BodyWriter rest = [this](TcpSocket& to) {
    return RelayRequestBody(this->exchange, !this->exchange.GetLength().has_value(), to);
  };
  const bool whole = this->exchange.IsBodyComplete();
  const OutboundOptions options{kConnectLimit, kPeerIdleLimit, kPeerIdleLimit};
  const ExchangeStatus status = co_await this->hop->Start(request, whole ? nullptr : &rest,
                                                          this->facts.GetEnd() - now, options);
  this->body_consumed = !whole && status != ExchangeStatus::kNotConnected;
  co_return co_await this->ReadHopResponse(choice, now, status);
}

Awaitable<HopEnd> CallerRequest::ReadHopResponse(const HopChoice& choice, TimePoint sent,
                                                 ExchangeStatus status) {
  std::optional<HopReport> report;
  if (status == ExchangeStatus::kOk) {
    report = GetHopReport(this->hop->GetHead());
    if (report.has_value() && report->hop_id != this->hop_id) {
      report.reset();
      this->hop->Cancel();
    }
    this->hop->LimitSilence(kMaxResponseSilence);
    this->buffered = BufferedResponse();
    co_await BufferResponse(*this->hop, this->buffered, BufferedResponse::kMaxBufferedBytes);
    co_await BufferWholeResponse(*this->hop, this->buffered);
  }
  const bool failed = status == ExchangeStatus::kNotConnected || status == ExchangeStatus::kLost ||
                      (status == ExchangeStatus::kOk && !report.has_value());
  this->context.state.RecordHopEnd(GetNow(), this->service, this->GetWork(), choice.peer_address,
                                   report.has_value() ? &*report : nullptr, failed);
  if (report.has_value()) {
    this->context.containment.Merge(GetNow(), this->service, report->strikes);
    this->context.state.RecordPeerProof(sent, report->table_version, report->proof_age_ms);
    if (report->table_version > this->context.state.GetTableVersion()) {
      this->context.on_newer_table(choice.peer_address);
    }
  }
  HopEnd end;
  if (status == ExchangeStatus::kNotConnected) {
    end.outcome = HopOutcome::kRefused;
    this->last_reason = "peer_unreachable";
  } else if (!report.has_value() || this->buffered.status == BodyStatus::kBroken) {
    end.outcome = HopOutcome::kUnknown;
    const bool timed_out = status == ExchangeStatus::kTimedOut || GetNow() >= this->facts.GetEnd();
    this->last_reason = timed_out ? "timed_out" : "connection_lost";
  } else {
    end.outcome = report->outcome;
    end.status = this->buffered.headers.result_int();
    end.call_failed = report->call_failed;
    end.beyond_share = report->share_wait_ms > 0;
    if (ProvesNoCrash(end)) {
      this->context.containment.RecordResponse(GetNow(), this->service, this->crash_fingerprint);
    }
    this->last_reason = report->reason;
  }
  this->RecordHop(choice, end, report.has_value() ? &*report : nullptr);
  co_return end;
}

void CallerRequest::RecordHop(const HopChoice& choice, const HopEnd& end, const HopReport* report) {
  HopTrace hop_trace;
  hop_trace.peer_address = choice.peer_address;
  hop_trace.target_id = choice.target_id;
  hop_trace.outcome = end.outcome;
  hop_trace.reason = this->last_reason;
  hop_trace.status = end.status;
  hop_trace.expected_wait_ms = report == nullptr ? 0 : report->expected_wait_ms;
  hop_trace.ended_after_ms = CountPositive(GetNow() - this->facts.arrived_at);
  hop_trace.chosen_wait_ms = CountPositive(choice.expected_wait);
  hop_trace.report_age_ms = choice.report_age.has_value()
                                ? static_cast<std::int32_t>(CountMilliseconds(*choice.report_age))
                                : -1;
  EventLog::Write(Event::kHopEnded,
                  "request={} service={} peer={} target={} outcome={} reason={} status={} "
                  "wait_ms={} chosen_wait_ms={} report_age_ms={} after_ms={}",
                  this->headers.request_id, this->service, hop_trace.peer_address,
                  hop_trace.target_id, GetName(hop_trace.outcome), hop_trace.reason,
                  hop_trace.status, hop_trace.expected_wait_ms, hop_trace.chosen_wait_ms,
                  hop_trace.report_age_ms, hop_trace.ended_after_ms);
  this->context.metrics.AddCount("hops_total",
                                 fmt::format("outcome=\"{}\"", GetName(hop_trace.outcome)));
  this->hops.push_back(std::move(hop_trace));
}

Awaitable<void> CallerRequest::Finish(const ProgressDecision& decision) {
  if (this->context.stage.IsStopping()) {
    this->exchange.CloseAfter();
  }
  const TimePoint now = GetNow();
  const std::string_view reason = DescribeProgressReason(decision.reason);
  const bool delivered = decision.action == ProgressAction::kDeliver;
  if (!delivered || http::to_status_class(this->buffered.headers.result_int()) !=
                        http::status_class::successful) {
    this->context.gate.RecordFailedCall(now);
  }
  if (!delivered) {
    this->context.state.RecordUnserved(this->first_arrival, this->route->name, this->fingerprint);
  }
  switch (decision.action) {
    case ProgressAction::kPlace:
    case ProgressAction::kDeliver: {
      const unsigned status = this->buffered.headers.result_int();
      this->context.metrics.AddCount("requests_total", fmt::format("status=\"{}\"", status));
      this->LogEnd(status, reason);
      // The timeout of the route limits the wait for the response to start; the caller's own
      // deadline limits a long response.
      this->hop->SetEnd(this->headers.time_left.has_value()
                            ? std::optional<TimePoint>(this->facts.deadline)
                            : std::nullopt);
      if (this->headers.time_left.has_value()) {
        this->exchange.SetEnd(this->facts.deadline);
      }
      // Callers are on this host, so their responses do not use its link.
      const std::uint64_t bytes =
          co_await RelayResponse(*this->hop, this->buffered, this->exchange);
      this->context.state.RecordResponseBytes(this->route->name, bytes);
      break;
    }
    case ProgressAction::kRefuse:
      if (decision.reason == ProgressReason::kBeyondShare) {
        this->context.metrics.AddNamedCount("share_refusals_total", "workspace",
                                            this->GetWorkspaceName(), "at=\"caller\"");
      }
      co_await this->SendRefusal(http::status::service_unavailable, reason,
                                 this->EstimateResendDelay(now, decision.reason));
      break;
    case ProgressAction::kFailUnknown:
      co_await this->SendRefusal(http::status::bad_gateway, reason, std::nullopt);
      break;
    case ProgressAction::kTimeout:
      co_await this->SendRefusal(http::status::gateway_timeout, reason, std::nullopt);
      break;
  }
  this->context.metrics.AddLatency("request_seconds",
                                   fmt::format("route=\"{}\"", this->route->name),
                                   GetNow() - this->facts.arrived_at);
}

RequestTrace CallerRequest::MakeTrace(unsigned status, std::string_view reason) const {
  const TimePoint now = GetNow();
  RequestTrace trace;
  trace.request_id = this->headers.request_id;
  trace.path = this->exchange.GetTarget();
  trace.route = this->route == nullptr ? std::string() : this->route->name;
  trace.table_version = this->index == nullptr ? 0 : this->index->GetTable().version;
  trace.service = this->service;
  trace.status = status;
  trace.reason = reason;
  trace.age_ms = CountPositive(now - this->first_arrival);
  trace.after_ms = CountPositive(now - this->facts.arrived_at);
  const Duration time_left =
      this->headers.time_left.value_or(Duration{0}) - (now - this->facts.arrived_at);
  trace.time_left_ms = static_cast<std::int32_t>(CountMilliseconds(time_left));
  trace.hops = this->hops;
  trace.workspace = this->GetWorkspaceName();
  return trace;
}

}  // namespace lacewingbridge
