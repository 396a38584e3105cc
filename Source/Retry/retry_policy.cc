#include "Retry/retry_policy.h"

#include <algorithm>

#include "Retry/retry_budget.h"

namespace lacewingbridge {

namespace {

// Whether the outcome proves that the target did not run the request.
bool DidNotRun(TargetOutcome outcome) {
  return outcome == TargetOutcome::kShed || outcome == TargetOutcome::kConnectionRefused;
}

// Decides how a request ends that is not retried. If there is no complete response, the request
// may be reported as not run only if no attempt can have run it.
RetryDecision GiveUp(const RetryAttempt& attempt, RetryReason reason) {
  RetryDecision decision;
  decision.reason = reason;
  decision.mark_do_not_retry = true;
  if (attempt.outcome == TargetOutcome::kFailed) {
    decision.action = RetryAction::kDeliverResponse;
  } else if (DidNotRun(attempt.outcome) && !attempt.earlier_may_have_run &&
             attempt.bytes_sent_to_caller == 0) {
    decision.action = RetryAction::kGiveUpNotRun;
  } else {
    decision.action = RetryAction::kGiveUpUnknown;
  }
  return decision;
}

std::uint32_t GetMaxAttempts(const RetryRoute& route, bool did_not_run) {
  const std::uint32_t retries = route.idempotent ? route.retries : 0;
  return 1 + (did_not_run ? std::max(retries, RetryPolicy::kNotRunRetries) : retries);
}

}  // namespace

bool RetryPolicy::MayHaveRun(TargetOutcome outcome) { return !DidNotRun(outcome); }

RetryDecision RetryPolicy::Decide(TimePoint now, const RetryRoute& route,
                                  const RetryAttempt& attempt, RetryBudget& budget) {
  if (attempt.outcome == TargetOutcome::kOk) {
    return {RetryAction::kDeliverResponse, RetryReason::kResponseReceived,
            attempt.marked_do_not_retry};
  }
  if (attempt.bytes_sent_to_caller > 0) {
    return GiveUp(attempt, RetryReason::kResponseStarted);
  }
  if (attempt.marked_do_not_retry) {
    return GiveUp(attempt, RetryReason::kMarkedDoNotRetry);
  }
  const bool did_not_run = DidNotRun(attempt.outcome);
  if (!route.idempotent && (!did_not_run || attempt.earlier_may_have_run)) {
    return GiveUp(attempt, RetryReason::kNotRepeatable);
  }
  if (attempt.attempts >= GetMaxAttempts(route, did_not_run)) {
    return GiveUp(attempt, RetryReason::kAttemptsUsedUp);
  }
  if (attempt.time_left <= attempt.expected_latency) {
    return GiveUp(attempt, RetryReason::kTimeUsedUp);
  }
  if (!budget.TryTake(now)) {
    return GiveUp(attempt, RetryReason::kBudgetExhausted);
  }
  return {RetryAction::kRetryElsewhere,
          did_not_run ? RetryReason::kDidNotRun : RetryReason::kMayRunAgain, false};
}

std::string_view DescribeRetryReason(RetryReason reason) {
  switch (reason) {
    case RetryReason::kResponseReceived:
      return "the target responded";
    case RetryReason::kMayRunAgain:
      return "retried because the route is idempotent";
    case RetryReason::kDidNotRun:
      return "retried because the request did not run";
    case RetryReason::kResponseStarted:
      return "not retried because the caller has received part of the response";
    case RetryReason::kMarkedDoNotRetry:
      return "not retried because the response is marked with do-not-retry";
    case RetryReason::kNotRepeatable:
      return "not retried because the request may have run and the route is not idempotent";
    case RetryReason::kAttemptsUsedUp:
      return "not retried because the route allows no further attempt";
    case RetryReason::kTimeUsedUp:
      return "not retried because another attempt would miss the deadline";
    case RetryReason::kBudgetExhausted:
      return "not retried because the retry budget of the service is used up";
  }
  return "unknown reason";
}

}  // namespace lacewingbridge
