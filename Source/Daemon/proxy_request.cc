#include "Daemon/proxy_request.h"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <random>
#include <thread>
#include <utility>

#include "Core/hash.h"
#include "Daemon/claim_service.h"
#include "Daemon/connection_probe.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/request_waiter.h"
#include "Daemon/rules_state.h"
#include "Daemon/service_table.h"
#include "Observe/event_log.h"
#include "Retry/retry_policy.h"
#include "Version/route_snapshot.h"
#include "settings.h"

namespace lacewingbridge {

using std::chrono::milliseconds;

namespace {

// Time between a lost connection and the probe of the target. The operating system needs it to
// close all sockets of a process that has died. An earlier probe may find the target still
// listening, and the crash would never be detected.
constexpr milliseconds kSocketCloseTime{10};

std::uint64_t GetNextRequestId() {
  static std::atomic<std::uint64_t> last_id{0};
  return ++last_id;
}

std::mt19937_64& GetThreadRandom() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return generator;
}

RequestPriority GetPriority(const RouteRule& route) {
  switch (route.priority) {
    case RoutePriority::kInternal:
      return RequestPriority::kInternal;
    case RoutePriority::kNormal:
      return RequestPriority::kNormal;
    case RoutePriority::kLow:
      return RequestPriority::kLow;
  }
  return RequestPriority::kNormal;
}

ClaimKeyRule GetKeyRule(const RouteRule& route) {
  switch (route.key) {
    case KeyUse::kNone:
      return ClaimKeyRule::kNone;
    case KeyUse::kOptional:
      return ClaimKeyRule::kOptional;
    case KeyUse::kRequired:
      return ClaimKeyRule::kRequired;
  }
  return ClaimKeyRule::kNone;
}

RefusalKind GetRefusal(AdmissionVerdict verdict) {
  switch (verdict) {
    case AdmissionVerdict::kRefusedDeadline:
      return RefusalKind::kDeadline;
    case AdmissionVerdict::kRefusedNoSlots:
      return RefusalKind::kNoTarget;
    default:
      return RefusalKind::kQueueFull;
  }
}

// The key may be used by several workspaces, and a request that crashes targets must not
// quarantine those of another workspace.
std::string QualifyKey(const std::string& workspace, const std::string& key) {
  return workspace.empty() ? key : workspace + "\n" + key;
}

std::string GetContentType(const TargetResponse& response) {
  for (const auto& [name, value] : response.headers) {
    if (name == "Content-Type") {
      return value;
    }
  }
  return {};
}

}  // namespace

class ProxyRequest::Slot {
 public:
  Slot(ServiceTable& table, const std::string& name, RequestId request_id)
      : services(table), service(name), id(request_id) {}
  ~Slot() {
    const TimePoint now = GetNow();
    this->services.WithService(this->service, now, [&](ServiceRuntime& runtime) {
      ServiceTable::NotifyWaiters(runtime, runtime.queue.Finish(now, this->id));
    });
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;

 private:
  ServiceTable& services;
  const std::string& service;
  RequestId id;
};

ProxyRequest::ProxyRequest(const ProxyEnvironment& shared, const httplib::Request& incoming,
                           const RouteRule& matched, RequestAccess allowed, TimePoint limit,
                           unsigned request_depth)
    : environment(shared),
      request(incoming),
      route(matched),
      access(std::move(allowed)),
      deadline(limit),
      depth(request_depth),
      key(incoming.get_header_value(kKeyHeader)),
      request_hash(
          CombineHashes(HashBytes(incoming.method + incoming.target), HashBytes(incoming.body))),
      fingerprint(ComputeFingerprint(
          matched.name, this->key.empty() ? incoming.target + incoming.body
                                          : QualifyKey(this->access.workspace, this->key))),
      id(GetNextRequestId()) {}

Duration ProxyRequest::GetTimeLeft() const {
  return std::max(this->deadline - GetNow(), Duration{0});
}

void ProxyRequest::Run(httplib::Response& response) {
  if (const std::optional<RefusalKind> refusal = this->Admit()) {
    WriteRefusal(*refusal, this->route.name, response);
    return;
  }
  const Slot slot(this->environment.services, this->route.service, this->id);
  Outcome outcome = this->RunClaimed();
  if (const auto* refusal = std::get_if<RefusalKind>(&outcome)) {
    WriteRefusal(*refusal, this->route.name, response);
    return;
  }
  CopyResponse(this->request, std::get<TargetResponse>(std::move(outcome)), response);
  if (this->do_not_retry) {
    response.set_header(kDoNotRetryHeader, "1");
  }
}

std::optional<RefusalKind> ProxyRequest::Admit() {
  const TimePoint now = GetNow();
  auto waiter = std::make_shared<RequestWaiter>();
  const AdmissionVerdict verdict = this->environment.services.WithService(
      this->route.service, now, [&](ServiceRuntime& runtime) {
        runtime.budget.RecordRequest(now);
        const AdmissionVerdict offered =
            runtime.queue.Offer(now, this->id, GetPriority(this->route), this->deadline);
        if (offered == AdmissionVerdict::kQueued) {
          runtime.waiting.emplace(this->id, waiter);
        }
        return offered;
      });
  if (verdict == AdmissionVerdict::kAdmitted) {
    return std::nullopt;
  }
  if (verdict != AdmissionVerdict::kQueued) {
    return GetRefusal(verdict);
  }
  RequestWaiter::Verdict decision = waiter->WaitUntil(this->deadline);
  if (decision == RequestWaiter::Verdict::kWaiting) {
    // Expire refuses every queued request whose deadline has passed, also this one.
    this->environment.services.WithService(
        this->route.service, GetNow(), [&](ServiceRuntime& runtime) {
          ServiceTable::NotifyWaiters(runtime,
                                      runtime.queue.Expire(std::max(GetNow(), this->deadline)));
        });
    decision = waiter->WaitUntil(this->deadline);
  }
  return decision == RequestWaiter::Verdict::kAdmitted
             ? std::nullopt
             : std::optional<RefusalKind>(RefusalKind::kDeadline);
}

ProxyRequest::Outcome ProxyRequest::RunClaimed() {
  ClaimFacts facts;
  facts.idempotent = this->route.idempotent;
  facts.key_rule = GetKeyRule(this->route);
  facts.key = this->key;
  facts.request_hash = this->request_hash;
  facts.workspace = this->access.workspace;
  ClaimCaller caller;
  caller.host = this->environment.settings.host;
  caller.incarnation = this->environment.incarnation;
  caller.attempt_id = this->environment.claims.GenerateAttemptId();
  ClaimGate gate(facts, caller);
  const Duration time_limit = std::min<Duration>(this->GetTimeLeft(), ClaimLimits().grant_delivery);
  return this->HandleGateStep(
      gate, gate.Begin(GetNow(), this->environment.claims.GetEpoch(), time_limit));
}

ProxyRequest::Outcome ProxyRequest::HandleGateStep(ClaimGate& gate, ClaimGateStep step) {
  ClaimService& claims = this->environment.claims;
  while (true) {
    if (step.report.has_value()) {
      claims.Report(*step.report);
    }
    switch (step.action) {
      case ClaimGateAction::kAskOwner:
        step = gate.HandleReply(GetNow(), claims.SendClaim(*step.ask, this->GetTimeLeft()));
        break;
      case ClaimGateAction::kRefreshMap:
        claims.RefreshMap(step.ask.has_value() ? step.ask->key : this->key);
        step = gate.AskAgain(GetNow(), claims.GetEpoch());
        break;
      case ClaimGateAction::kRunNow:
        return this->RunAndReport(gate);
      case ClaimGateAction::kSendStoredResponse:
        return this->MakeStoredResponse(*step.stored);
      case ClaimGateAction::kRefuseUnknown:
        return RefusalKind::kUnknown;
      case ClaimGateAction::kRefuseKeyReused:
        return RefusalKind::kKeyReused;
      case ClaimGateAction::kRefuseKeyAhead:
        return RefusalKind::kKeyAhead;
      case ClaimGateAction::kRefuseKeyMissing:
        return RefusalKind::kKeyMissing;
      case ClaimGateAction::kRefuseNotRun:
      case ClaimGateAction::kForwardResponse:
        return RefusalKind::kClaimNotRun;
    }
  }
}

ProxyRequest::Outcome ProxyRequest::RunAndReport(ClaimGate& gate) {
  Outcome outcome = this->RunAttempts(gate);
  ClaimAttemptResult result;
  result.outcome = this->claim_outcome;
  std::string content_type;
  if (const auto* response = std::get_if<TargetResponse>(&outcome)) {
    content_type = GetContentType(*response);
    result.status_code = static_cast<std::uint32_t>(response->status);
    result.answer = response->body;
    result.content_type = content_type;
  }
  const ClaimGateStep step = gate.HandleResult(result);
  if (step.report.has_value()) {
    this->environment.claims.Report(*step.report);
  }
  return outcome;
}

ProxyRequest::Outcome ProxyRequest::MakeStoredResponse(const ClaimRecord& record) const {
  if (!record.answer_kept) {
    return RefusalKind::kDoneResponseNotStored;
  }
  TargetResponse response;
  response.status = static_cast<int>(record.status_code);
  response.body = record.answer;
  if (!record.content_type.empty()) {
    response.headers.emplace_back("Content-Type", record.content_type);
  }
  response.headers.emplace_back("Lacewing-Stored-Answer", "1");
  return response;
}

ProxyRequest::Choice ProxyRequest::ChooseTarget() {
  const TimePoint now = GetNow();
  return this->environment.services.WithService(
      this->route.service, now, [&](ServiceRuntime& runtime) -> Choice {
        std::vector<std::string> excluded = this->tried;
        while (true) {
          const TargetChoice choice = runtime.selector.Select(now, GetThreadRandom(), excluded);
          if (choice.kind != TargetChoiceKind::kTarget) {
            return {{}, 0, RefusalKind::kNoTarget};
          }
          const QuarantineDecision decision =
              runtime.quarantine.MayStart(now, this->fingerprint, choice.address);
          if (decision == QuarantineDecision::kQuarantined) {
            return {{}, 0, RefusalKind::kQuarantined};
          }
          if (decision == QuarantineDecision::kWait) {
            excluded.push_back(choice.address);
            continue;
          }
          runtime.selector.ReportStart(choice.address);
          runtime.quarantine.Start(this->fingerprint, choice.address);
          return {choice.address, runtime.incarnations[choice.address], std::nullopt};
        }
      });
}

TargetAttempt ProxyRequest::Send(const Choice& choice) {
  TargetAttempt attempt = SendToTarget(this->environment.targets, choice.address, this->request,
                                       this->GetTimeLeft(), this->depth, this->access);
  this->tried.push_back(choice.address);
  const bool lost = attempt.outcome == TargetOutcome::kLostMidRequest && !attempt.timed_out;
  const bool has_response = attempt.outcome == TargetOutcome::kOk;
  const milliseconds probe_limit(this->environment.settings.connect_timeout_ms);
  if (lost) {
    std::this_thread::sleep_for(kSocketCloseTime);
  }
  const bool refused = attempt.outcome == TargetOutcome::kConnectionRefused ||
                       (lost && IsConnectionRefused(choice.address, probe_limit));
  const TimePoint now = GetNow();
  bool ejected = false;
  std::size_t quarantined = 0;
  this->environment.services.WithService(this->route.service, now, [&](ServiceRuntime& runtime) {
    ejected = runtime.selector.ReportFinish(now, choice.address, attempt.outcome, attempt.latency);
    if (lost) {
      runtime.quarantine.RecordLostConnection(now, this->fingerprint, choice.address,
                                              choice.incarnation);
    }
    quarantined = refused ? runtime.quarantine.RecordRefusedConnection(now, choice.address) : 0;
    if (lost && refused) {
      runtime.selector.ReportDead(now, choice.address);
    }
    runtime.quarantine.Finish(now, this->fingerprint, choice.address, has_response);
    ServiceTable::NotifyWaiters(
        runtime, runtime.queue.SetSlots(now, runtime.selector.CountUsableSlots(now)));
  });
  if (ejected) {
    EventLog::Write(Event::kTargetEjected, "service={} target={}", this->route.service,
                    choice.address);
  }
  if (quarantined > 0) {
    EventLog::Write(Event::kRequestQuarantined, "service={} count={}", this->route.service,
                    quarantined);
  }
  return attempt;
}

std::optional<RefusalKind> ProxyRequest::FindBar(const ClaimGate& gate) const {
  // After a pause of this process the owner may have dropped the grant, and the request must not
  // start.
  if (!gate.IsStartAllowed(GetNow())) {
    return RefusalKind::kDeadline;
  }
  const bool is_current = IsAccessCurrent(*this->environment.rules.GetSnapshot(), this->access);
  return is_current ? std::nullopt : std::optional<RefusalKind>(RefusalKind::kApiKeyChanged);
}

ProxyRequest::Outcome ProxyRequest::RunAttempts(const ClaimGate& gate) {
  const RetryRoute retry_route{this->route.idempotent, this->route.retries};
  RetryAttempt state;
  state.attempts = 0;
  while (true) {
    const std::optional<RefusalKind> bar = this->FindBar(gate);
    const Choice choice = bar.has_value() ? Choice{{}, 0, bar} : this->ChooseTarget();
    if (choice.refusal.has_value()) {
      this->claim_outcome =
          state.earlier_may_have_run ? ClaimAttemptOutcome::kLost : ClaimAttemptOutcome::kNotRun;
      return state.earlier_may_have_run ? RefusalKind::kUnknown : *choice.refusal;
    }
    TargetAttempt attempt = this->Send(choice);
    ++state.attempts;
    state.outcome = attempt.outcome;
    state.marked_do_not_retry = attempt.marked_do_not_retry;
    state.time_left = this->GetTimeLeft();
    const TimePoint now = GetNow();
    const RetryDecision decision = this->environment.services.WithService(
        this->route.service, now, [&](ServiceRuntime& runtime) {
          state.expected_latency = runtime.selector.GetLatency(choice.address);
          return RetryPolicy::Decide(now, retry_route, state, runtime.budget);
        });
    state.earlier_may_have_run =
        state.earlier_may_have_run || RetryPolicy::MayHaveRun(attempt.outcome);
    this->do_not_retry = decision.mark_do_not_retry;
    switch (decision.action) {
      case RetryAction::kDeliverResponse:
        this->claim_outcome = ClaimAttemptOutcome::kAnswered;
        return std::move(attempt.response);
      case RetryAction::kRetryElsewhere:
        break;
      case RetryAction::kGiveUpNotRun:
        this->claim_outcome = ClaimAttemptOutcome::kNotRun;
        return RefusalKind::kNotRun;
      case RetryAction::kGiveUpUnknown:
        this->claim_outcome = ClaimAttemptOutcome::kLost;
        return RefusalKind::kUnknown;
    }
  }
}

}  // namespace lacewingbridge
