#include "Retry/request_progress.h"

#include "Retry/fleet_retry_budget.h"

namespace lacewingbridge {

namespace {

// A status from 500 on means that the target failed; another target may succeed.
constexpr unsigned kFirstServerError = 500;

}  // namespace

std::string_view DescribeProgressReason(ProgressReason reason) {
  switch (reason) {
    case ProgressReason::kFirst:
      return "first";
    case ProgressReason::kResponseReceived:
      return "answered";
    case ProgressReason::kNoCapacity:
      return "no_room";
    case ProgressReason::kTargetRefused:
      return "target_refused";
    case ProgressReason::kMayRunAgain:
      return "may_run_again";
    case ProgressReason::kNotRepeatable:
      return "not_repeatable";
    case ProgressReason::kAttemptsUsedUp:
      return "attempts_used_up";
    case ProgressReason::kHopsUsedUp:
      return "hops_used_up";
    case ProgressReason::kBudgetUsedUp:
      return "budget_used_up";
    case ProgressReason::kTimedOut:
      return "time_over";
    case ProgressReason::kNoTarget:
      return "no_target";
    case ProgressReason::kQuarantined:
      return "quarantined";
    case ProgressReason::kCallFailed:
      return "call_failed";
    case ProgressReason::kProofExpired:
      return "proof_expired";
    case ProgressReason::kBeyondShare:
      return "beyond_share";
    case ProgressReason::kFalseRefusal:
      return "false_refusal";
  }
  return "invalid";
}

ProgressDecision RequestProgress::End(ProgressReason reason) const {
  return {this->may_have_run ? ProgressAction::kFailUnknown : ProgressAction::kRefuse, reason};
}

ProgressDecision RequestProgress::HandleNoCandidate(TimePoint now) const {
  if (now >= this->facts.GetEnd()) {
    return this->HandleTimeout();
  }
  return this->End(this->refused_hops > 0 ? ProgressReason::kNoCapacity
                                          : ProgressReason::kNoTarget);
}

ProgressDecision RequestProgress::HandleShareRefusals(std::size_t count) {
  this->share_refusals = count;
  return count >= kMaxRefusedHops ? this->End(ProgressReason::kBeyondShare) : ProgressDecision();
}

ProgressDecision RequestProgress::HandleBeyondShare(TimePoint now) const {
  return now >= this->facts.GetEnd() ? this->HandleTimeout()
                                     : this->End(ProgressReason::kBeyondShare);
}

ProgressDecision RequestProgress::HandleTimeout() const {
  return {this->may_have_run ? ProgressAction::kTimeout : ProgressAction::kRefuse,
          ProgressReason::kTimedOut};
}

ProgressDecision RequestProgress::DecideRetry(TimePoint now, ProgressReason cause, double part,
                                              FleetRetryBudget& budget) {
  if (now >= this->facts.GetEnd()) {
    return this->HandleTimeout();
  }
  if (this->target_attempts >= this->facts.max_attempts) {
    return this->End(ProgressReason::kAttemptsUsedUp);
  }
  if (!budget.TryTake(now, part)) {
    return this->End(ProgressReason::kBudgetUsedUp);
  }
  return {ProgressAction::kPlace, cause};
}

ProgressDecision RequestProgress::HandleResponse(TimePoint now, const HopEnd& end,
                                                 FleetRetryBudget& budget) {
  ++this->target_attempts;
  this->may_have_run = true;
  const bool false_refusal = PromisesNoRun(end.status);
  const bool failed = end.status >= kFirstServerError || false_refusal;
  ProgressReason reason = ProgressReason::kResponseReceived;
  if (failed && this->facts.idempotent) {
    const ProgressDecision retry = this->DecideRetry(
        now, end.call_failed ? ProgressReason::kCallFailed : ProgressReason::kMayRunAgain,
        end.call_failed ? FleetRetryBudget::kFailedCallPart : 1, budget);
    if (retry.action == ProgressAction::kPlace) {
      return retry;
    }
    reason = retry.reason;
  }
  if (false_refusal) {
    return {ProgressAction::kFailUnknown, ProgressReason::kFalseRefusal};
  }
  // Without a retry, the caller receives the error response of the target. It tells more about the
  // failure than a response made here.
  return {ProgressAction::kDeliver, reason};
}

ProgressDecision RequestProgress::HandleHopEnd(TimePoint now, const HopEnd& end,
                                               FleetRetryBudget& budget) {
  switch (end.outcome) {
    case HopOutcome::kRefused:
      if (now >= this->facts.GetEnd()) {
        return this->HandleTimeout();
      }
      ++this->refused_hops;
      if (end.beyond_share && this->refused_hops + this->share_refusals >= kMaxRefusedHops) {
        return this->End(ProgressReason::kBeyondShare);
      }
      if (this->refused_hops >= kMaxRefusedHops) {
        return this->End(ProgressReason::kHopsUsedUp);
      }
      return {ProgressAction::kPlace, ProgressReason::kNoCapacity};
    case HopOutcome::kQuarantined:
      return this->End(ProgressReason::kQuarantined);
    case HopOutcome::kNotRun:
      ++this->target_attempts;
      return this->DecideRetry(now, ProgressReason::kTargetRefused, 1, budget);
    case HopOutcome::kAnswered:
      return this->HandleResponse(now, end, budget);
    case HopOutcome::kNone:
    case HopOutcome::kUnknown:
      break;
  }
  ++this->target_attempts;
  this->may_have_run = true;
  if (!this->facts.idempotent) {
    return now >= this->facts.GetEnd() ? this->HandleTimeout()
                                       : this->End(ProgressReason::kNotRepeatable);
  }
  return this->DecideRetry(now, ProgressReason::kMayRunAgain, 1, budget);
}

}  // namespace lacewingbridge
