// Guards against three failures: a request that may have run is refused as not run, a request that
// is not idempotent runs twice, and a request is passed to more targets than its route allows.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <array>
#include <random>
#include <vector>

#include "Retry/fleet_retry_budget.h"
#include "Retry/request_progress.h"
#include "Retry/resend_delay.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{seconds(10)};

RequestFacts MakeFacts(bool idempotent, std::uint32_t max_attempts) {
  RequestFacts facts;
  facts.arrived_at = kStart;
  facts.deadline = kStart + seconds(2);
  facts.timeout_at = kStart + seconds(1);
  facts.objective_at = kStart + milliseconds(300);
  facts.max_attempts = max_attempts;
  facts.idempotent = idempotent;
  return facts;
}

FleetRetryBudget MakeBudget(double slack) {
  FleetRetryBudget budget;
  budget.SetBound({0, slack, seconds(10), 1});
  return budget;
}

}  // namespace

Test(request_progress, reports_the_outcome_truthfully_and_limits_attempts_for_any_hops) {
  constexpr std::array<HopOutcome, 6> kOutcomes = {HopOutcome::kRefused,     HopOutcome::kNotRun,
                                                   HopOutcome::kUnknown,     HopOutcome::kAnswered,
                                                   HopOutcome::kQuarantined, HopOutcome::kNone};
  cr_assert(rc::check([&] {
    const bool idempotent = *rc::gen::arbitrary<bool>();
    const std::uint32_t attempts = *rc::gen::inRange(1U, 4U);
    FleetRetryBudget budget = MakeBudget(*rc::gen::inRange(0, 8));
    RequestProgress progress(MakeFacts(idempotent, attempts));
    TimePoint now = kStart;
    bool may_have_run = false;
    std::uint32_t target_attempts = 0;
    unsigned last_status = 0;
    ProgressDecision decision;
    for (int hop = 0; decision.action == ProgressAction::kPlace; ++hop) {
      RC_ASSERT(hop < 10);
      RC_ASSERT(idempotent || !may_have_run);
      const HopOutcome outcome = kOutcomes[*rc::gen::inRange<std::size_t>(0, kOutcomes.size())];
      const unsigned status = *rc::gen::element(200U, 404U, 429U, 500U, 503U);
      now += milliseconds(*rc::gen::inRange(0, 400));
      if (outcome != HopOutcome::kRefused && outcome != HopOutcome::kQuarantined) {
        ++target_attempts;
        may_have_run = may_have_run || outcome != HopOutcome::kNotRun;
      }
      RC_ASSERT(target_attempts <= attempts);
      last_status = status;
      decision = progress.HandleHopEnd(now, {outcome, status}, budget);
    }
    if (decision.action == ProgressAction::kRefuse) {
      RC_ASSERT(!may_have_run);
    }
    if (decision.action == ProgressAction::kDeliver) {
      RC_ASSERT(!PromisesNoRun(last_status));
    }
    if (decision.action == ProgressAction::kFailUnknown ||
        decision.action == ProgressAction::kTimeout) {
      RC_ASSERT(may_have_run);
    }
  }));
}

// Guards against an order that has run and is answered with the target's own 503, which callers
// take as "not run": they send the order again, and it runs twice (review/1).
Test(request_progress, delivers_no_status_that_promises_that_a_run_request_has_not_run) {
  for (const bool idempotent : {false, true}) {
    for (const unsigned status : {408U, 421U, 429U, 503U}) {
      FleetRetryBudget budget = MakeBudget(0);
      RequestProgress progress(MakeFacts(idempotent, 2));
      const ProgressDecision decision =
          progress.HandleHopEnd(kStart, {HopOutcome::kAnswered, status}, budget);
      cr_assert(decision.action == ProgressAction::kFailUnknown, "status %u", status);
      cr_assert(decision.reason == ProgressReason::kFalseRefusal, "status %u", status);
    }
    for (const unsigned status : {200U, 302U, 404U, 409U, 500U, 502U, 504U}) {
      FleetRetryBudget budget = MakeBudget(0);
      RequestProgress progress(MakeFacts(idempotent, 2));
      const ProgressDecision decision =
          progress.HandleHopEnd(kStart, {HopOutcome::kAnswered, status}, budget);
      cr_assert(decision.action == ProgressAction::kDeliver, "status %u", status);
    }
  }
}

Test(request_progress, sends_an_idempotent_request_again_after_a_false_refusal) {
  for (const unsigned status : {408U, 429U, 503U}) {
    FleetRetryBudget budget = MakeBudget(100);
    RequestProgress progress(MakeFacts(true, 2));
    cr_assert(progress.HandleHopEnd(kStart, {HopOutcome::kAnswered, status}, budget).action ==
              ProgressAction::kPlace);
    cr_assert(progress.HandleHopEnd(kStart, {HopOutcome::kAnswered, 200}, budget).action ==
              ProgressAction::kDeliver);
  }
}

Test(request_progress, refuses_after_the_maximum_of_refused_hops) {
  FleetRetryBudget budget = MakeBudget(0);
  RequestProgress progress(MakeFacts(false, 2));
  for (std::uint32_t hop = 1; hop < kMaxRefusedHops; ++hop) {
    cr_assert(progress.HandleHopEnd(kStart, {HopOutcome::kRefused, 0}, budget).action ==
              ProgressAction::kPlace);
  }
  cr_assert(progress.HandleHopEnd(kStart, {HopOutcome::kRefused, 0}, budget).action ==
            ProgressAction::kRefuse);
}

Test(request_progress, refuses_an_unsent_request_and_times_out_a_sent_one) {
  FleetRetryBudget budget = MakeBudget(100);
  RequestProgress unsent(MakeFacts(true, 3));
  cr_assert(unsent.HandleTimeout().action == ProgressAction::kRefuse);
  RequestProgress sent(MakeFacts(true, 3));
  cr_assert(sent.HandleHopEnd(kStart + seconds(1), {HopOutcome::kUnknown, 0}, budget).action ==
            ProgressAction::kTimeout);
}

// Guards against "not run" for a request that may have run before its API key became invalid.
Test(request_progress, an_expired_proof_refuses_an_unsent_request_and_fails_a_sent_one) {
  FleetRetryBudget budget = MakeBudget(100);
  RequestProgress unsent(MakeFacts(true, 3));
  cr_assert(unsent.HandleProofExpired().action == ProgressAction::kRefuse);
  cr_assert(unsent.HandleProofExpired().reason == ProgressReason::kProofExpired);
  RequestProgress sent(MakeFacts(true, 3));
  sent.HandleHopEnd(kStart, {HopOutcome::kUnknown, 0}, budget);
  cr_assert(sent.HandleProofExpired().action == ProgressAction::kFailUnknown);
}

Test(resend_delay, is_empty_if_a_resend_cannot_succeed) {
  std::mt19937_64 random(1);
  cr_assert(!ComputeResendDelay(seconds(1), seconds(2), milliseconds(100), random).has_value());
  cr_assert(!ComputeResendDelay(milliseconds(50), milliseconds(120), milliseconds(100), random)
                 .has_value());
}

Test(resend_delay, spreads_the_resends_of_a_burst) {
  std::mt19937_64 random(1);
  Duration least = seconds(9);
  Duration most{0};
  for (int i = 0; i < 200; ++i) {
    const auto interval =
        ComputeResendDelay(milliseconds(200), seconds(2), milliseconds(100), random);
    cr_assert(interval.has_value());
    least = std::min(least, *interval);
    most = std::max(most, *interval);
  }
  cr_assert_geq(least.count(), Duration(milliseconds(200)).count());
  cr_assert_leq(most.count(), Duration(seconds(2)).count() / 3);
  cr_assert_gt((most - least).count(), Duration(milliseconds(50)).count());
}
