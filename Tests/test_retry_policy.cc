// Guards against three failures of the retry decisions: a request that is not idempotent runs
// twice, a request that may have run is reported as not run, and retries at several levels of a
// call tree multiply the load.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>
#include <vector>

#include "Retry/retry_budget.h"
#include "Retry/retry_policy.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};

RetryAttempt MakeAttempt(TargetOutcome outcome) {
  RetryAttempt attempt;
  attempt.outcome = outcome;
  attempt.time_left = seconds(1);
  attempt.expected_latency = milliseconds(10);
  return attempt;
}

RetryDecision DecideOnce(const RetryRoute& route, const RetryAttempt& attempt) {
  RetryBudget budget(kStart);
  return RetryPolicy::Decide(kStart, route, attempt, budget);
}

constexpr RetryRoute kNonIdempotentRoute{false, 0};
constexpr RetryRoute kIdempotentRoute{true, 2};

}  // namespace

Test(retry_policy, retries_a_non_idempotent_request_only_if_it_did_not_run) {
  cr_assert(DecideOnce(kNonIdempotentRoute, MakeAttempt(TargetOutcome::kShed)).action ==
            RetryAction::kRetryElsewhere);
  cr_assert(
      DecideOnce(kNonIdempotentRoute, MakeAttempt(TargetOutcome::kConnectionRefused)).action ==
      RetryAction::kRetryElsewhere);
  cr_assert(DecideOnce(kNonIdempotentRoute, MakeAttempt(TargetOutcome::kLostMidRequest)).action ==
            RetryAction::kGiveUpUnknown);
  cr_assert(DecideOnce(kNonIdempotentRoute, MakeAttempt(TargetOutcome::kFailed)).action ==
            RetryAction::kDeliverResponse);
}

Test(retry_policy, reports_not_run_only_if_no_attempt_can_have_run) {
  RetryAttempt attempt = MakeAttempt(TargetOutcome::kShed);
  attempt.marked_do_not_retry = true;
  cr_assert(DecideOnce(kIdempotentRoute, attempt).action == RetryAction::kGiveUpNotRun);
  attempt.earlier_may_have_run = true;
  cr_assert(DecideOnce(kIdempotentRoute, attempt).action == RetryAction::kGiveUpUnknown);
}

Test(retry_policy, does_not_retry_after_mark_deadline_last_attempt_or_partial_response) {
  RetryAttempt attempt = MakeAttempt(TargetOutcome::kLostMidRequest);
  cr_assert(DecideOnce(kIdempotentRoute, attempt).action == RetryAction::kRetryElsewhere);
  attempt.bytes_sent_to_caller = 1;
  cr_assert(DecideOnce(kIdempotentRoute, attempt).reason == RetryReason::kResponseStarted);
  attempt.bytes_sent_to_caller = 0;
  attempt.attempts = 3;
  cr_assert(DecideOnce(kIdempotentRoute, attempt).reason == RetryReason::kAttemptsUsedUp);
  attempt.attempts = 1;
  attempt.time_left = milliseconds(10);
  cr_assert(DecideOnce(kIdempotentRoute, attempt).reason == RetryReason::kTimeUsedUp);
  attempt.marked_do_not_retry = true;
  const RetryDecision decision = DecideOnce(kIdempotentRoute, attempt);
  cr_assert(decision.reason == RetryReason::kMarkedDoNotRetry);
  cr_assert(decision.mark_do_not_retry);
}

Test(retry_policy, never_runs_a_non_idempotent_request_twice) {
  cr_assert(rc::check("at most one run", [] {
    RetryBudget budget(kStart);
    TimePoint now = kStart;
    int runs = 0;
    RetryAttempt attempt;
    for (attempt.attempts = 1;; ++attempt.attempts) {
      now += milliseconds(*rc::gen::inRange(0, 60000));
      attempt.outcome = *rc::gen::element(
          TargetOutcome::kOk, TargetOutcome::kFailed, TargetOutcome::kShed, TargetOutcome::kShed,
          TargetOutcome::kConnectionRefused, TargetOutcome::kLostMidRequest);
      attempt.time_left = milliseconds(*rc::gen::inRange(-5, 1000));
      runs += RetryPolicy::MayHaveRun(attempt.outcome) ? 1 : 0;
      const RetryDecision decision = RetryPolicy::Decide(now, kNonIdempotentRoute, attempt, budget);
      if (decision.action != RetryAction::kRetryElsewhere) {
        RC_ASSERT((decision.action != RetryAction::kGiveUpNotRun || runs == 0));
        break;
      }
      attempt.earlier_may_have_run |= RetryPolicy::MayHaveRun(attempt.outcome);
    }
    RC_ASSERT(runs <= 1);
    RC_ASSERT(attempt.attempts <= 1 + RetryPolicy::kNotRunRetries);
  }));
}

Test(retry_budget, limits_the_retries_by_requests_and_time) {
  cr_assert(rc::check("budget", [] {
    RetryBudget budget(kStart);
    TimePoint now = kStart;
    int requests = 0;
    int retries = 0;
    const int steps = *rc::gen::inRange(1, 2000);
    for (int i = 0; i < steps; ++i) {
      now += Duration(*rc::gen::inRange(0, 50000));
      if (*rc::gen::inRange(0, 3) == 0) {
        retries += budget.TryTake(now) ? 1 : 0;
      } else {
        budget.RecordRequest(now);
        ++requests;
      }
      const std::chrono::duration<double> elapsed = now - kStart;
      RC_ASSERT(retries <= 1 + 0.1 * requests + 0.1 * elapsed.count() + 1e-6);
    }
  }));
}

Test(retry_budget, saves_at_most_ten_retries_while_idle) {
  RetryBudget budget(kStart);
  int retries = 0;
  while (budget.TryTake(kStart + std::chrono::hours(10))) {
    ++retries;
  }
  cr_assert_eq(retries, 10);
}

namespace {

constexpr int kLevels = 17;

// A chain of calls through kLevels daemons, each with its own retry budget. The deepest call always
// fails.
struct CallChain {
  std::vector<RetryBudget> budgets = std::vector<RetryBudget>(kLevels, RetryBudget(kStart));
  std::array<int, kLevels> calls{};
  TargetOutcome leaf_outcome = TargetOutcome::kFailed;

  // Calls the service at the level and retries as its daemon decides. Returns whether the failed
  // response has the do-not-retry mark.
  bool Call(TimePoint now, int level) {
    this->budgets[level].RecordRequest(now);
    for (RetryAttempt attempt = MakeAttempt(TargetOutcome::kFailed);; ++attempt.attempts) {
      ++this->calls[level];
      const bool leaf = level + 1 == kLevels;
      attempt.outcome = leaf ? this->leaf_outcome : TargetOutcome::kFailed;
      attempt.marked_do_not_retry = !leaf && this->Call(now, level + 1);
      const RetryDecision decision =
          RetryPolicy::Decide(now, kIdempotentRoute, attempt, this->budgets[level]);
      if (decision.action != RetryAction::kRetryElsewhere) {
        return decision.mark_do_not_retry;
      }
    }
  }
};

}  // namespace

Test(retry_policy, amplification_over_17_levels_stays_below_1_2) {
  for (TargetOutcome outcome :
       {TargetOutcome::kFailed, TargetOutcome::kShed, TargetOutcome::kConnectionRefused,
        TargetOutcome::kLostMidRequest}) {
    CallChain chain;
    chain.leaf_outcome = outcome;
    constexpr int kRequests = 2000;
    for (int i = 0; i < kRequests; ++i) {
      chain.Call(kStart + milliseconds(10) * i, 0);
    }
    for (int calls : chain.calls) {
      cr_assert(calls <= kRequests * 1.2, "%d calls for %d requests", calls, kRequests);
    }
  }
}
