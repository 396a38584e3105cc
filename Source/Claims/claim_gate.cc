#include "Claims/claim_gate.h"

#include "Claims/claim_limits.h"

namespace lacewingbridge {

namespace {

// Claim calls of one attempt. The owner's map may be newer than the caller's and may change
// once more before the second call. A third mismatch means that maps change faster than they
// spread through the fleet.
constexpr int kMaxClaimCalls = 3;
constexpr std::size_t kMaxReportedResponseBytes = kMaxStoredResponseBytes + 1;

}  // namespace

ClaimGate::ClaimGate(const ClaimFacts& facts, const ClaimCaller& caller)
    : needs_claim(!facts.idempotent && facts.key_rule != ClaimKeyRule::kNone && !facts.key.empty()),
      key_missing(facts.key_rule == ClaimKeyRule::kRequired && facts.key.empty()) {
  this->request.key = facts.key;
  this->request.request_hash = facts.request_hash;
  this->request.workspace = facts.workspace;
  this->request.attempt_id = caller.attempt_id;
  this->request.caller_host = caller.host;
  this->request.caller_incarnation = caller.incarnation;
}

ClaimGateStep ClaimGate::Begin(TimePoint now, std::uint64_t owner_map_epoch, Duration time_limit) {
  if (this->phase != Phase::kNew) {
    return this->Close(ClaimGateAction::kRefuseNotRun);
  }
  if (this->key_missing) {
    return this->Close(ClaimGateAction::kRefuseKeyMissing);
  }
  if (!this->needs_claim) {
    this->phase = Phase::kRunning;
    return ClaimGateStep{ClaimGateAction::kRunNow, {}, {}, {}};
  }
  if (owner_map_epoch == 0) {
    return this->Close(ClaimGateAction::kRefuseNotRun);
  }
  this->deadline = now + time_limit;
  return this->Ask(owner_map_epoch);
}

ClaimGateStep ClaimGate::AskAgain(TimePoint now, std::uint64_t owner_map_epoch) {
  if (this->phase != Phase::kRefreshing) {
    return this->Close(ClaimGateAction::kRefuseNotRun);
  }
  if (now >= this->deadline || owner_map_epoch == 0) {
    return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
  }
  return this->Ask(owner_map_epoch);
}

ClaimGateStep ClaimGate::Ask(std::uint64_t owner_map_epoch) {
  this->phase = Phase::kAsking;
  ++this->claim_call_count;
  this->request.owner_map_epoch = owner_map_epoch;
  return ClaimGateStep{ClaimGateAction::kAskOwner, this->request, {}, {}};
}

ClaimGateStep ClaimGate::HandleReply(TimePoint now, const std::optional<ClaimReply>& reply) {
  if (this->phase != Phase::kAsking) {
    return this->Close(ClaimGateAction::kRefuseNotRun);
  }
  if (!reply.has_value() || now >= this->deadline) {
    return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
  }
  switch (reply->decision) {
    case ClaimDecision::kGranted:
      this->phase = Phase::kRunning;
      return ClaimGateStep{ClaimGateAction::kRunNow, {}, {}, {}};
    case ClaimDecision::kAlreadyDone: {
      ClaimGateStep step = this->Close(ClaimGateAction::kSendStoredResponse);
      step.stored = reply->record;
      return step;
    }
    case ClaimDecision::kOutcomeUnknown:
      return this->Close(ClaimGateAction::kRefuseUnknown);
    case ClaimDecision::kKeyReused:
      return this->Close(ClaimGateAction::kRefuseKeyReused);
    case ClaimDecision::kKeyAhead:
      // A retried claim call of this attempt may be granted once the clock has advanced.
      return this->CloseAndReport(ClaimGateAction::kRefuseKeyAhead, ClaimOutcome::kNotRun);
    case ClaimDecision::kNotRun:
      return this->HandleRefusal(*reply);
    case ClaimDecision::kUnknown:
      break;
  }
  // The decision was added in a newer release. The owner may have granted the key.
  return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
}

ClaimGateStep ClaimGate::HandleRefusal(const ClaimReply& reply) {
  const bool is_other_epoch = reply.owner_map_epoch != this->request.owner_map_epoch;
  if (is_other_epoch && this->claim_call_count < kMaxClaimCalls) {
    this->phase = Phase::kRefreshing;
    return ClaimGateStep{ClaimGateAction::kRefreshMap, {}, {}, {}};
  }
  // A retried claim call of this attempt may still be in flight and be granted.
  return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
}

ClaimGateStep ClaimGate::Abandon() {
  if (!this->needs_claim || this->phase == Phase::kNew || this->phase == Phase::kClosed) {
    return this->Close(ClaimGateAction::kRefuseNotRun);
  }
  return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
}

ClaimGateStep ClaimGate::HandleResult(const ClaimAttemptResult& result) {
  if (this->phase != Phase::kRunning) {
    return this->Close(ClaimGateAction::kRefuseUnknown);
  }
  if (result.outcome == ClaimAttemptOutcome::kNotRun) {
    return this->CloseAndReport(ClaimGateAction::kRefuseNotRun, ClaimOutcome::kNotRun);
  }
  if (result.outcome == ClaimAttemptOutcome::kLost) {
    return this->CloseAndReport(ClaimGateAction::kRefuseUnknown, ClaimOutcome::kLost);
  }
  ClaimGateStep step = this->CloseAndReport(ClaimGateAction::kForwardResponse, ClaimOutcome::kDone);
  if (step.report.has_value()) {
    step.report->status_code = result.status_code;
    // The owner does not store longer responses. One byte beyond the limit is enough for it
    // to detect one.
    step.report->answer = result.answer.substr(0, kMaxReportedResponseBytes);
    step.report->content_type = result.content_type;
  }
  return step;
}

bool ClaimGate::IsStartAllowed(TimePoint now) const {
  return this->phase == Phase::kRunning && (!this->needs_claim || now < this->deadline);
}

ClaimGateStep ClaimGate::Close(ClaimGateAction action) {
  this->phase = Phase::kClosed;
  return ClaimGateStep{action, {}, {}, {}};
}

ClaimGateStep ClaimGate::CloseAndReport(ClaimGateAction action, ClaimOutcome outcome) {
  ClaimGateStep step = this->Close(action);
  if (this->needs_claim) {
    step.report = ClaimDoneRequest{};
    step.report->key = this->request.key;
    step.report->attempt_id = this->request.attempt_id;
    step.report->outcome = outcome;
  }
  return step;
}

}  // namespace lacewingbridge
