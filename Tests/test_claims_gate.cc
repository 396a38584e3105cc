// Guards against an attempt that runs twice or without its own grant, and against refusals
// and reports that are wrong about what ran.
#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "Claims/claim_gate.h"
#include "Claims/claim_limits.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;
using Action = ClaimGateAction;

namespace {

constexpr TimePoint kStart{};
constexpr Duration kLimit = seconds(1);

ClaimGate MakeGate(ClaimKeyRule rule, std::string_view key, bool idempotent = false) {
  return ClaimGate({idempotent, rule, key, 42}, {"caller", 3, 9});
}

// Returns a gate that waits for the reply of the owner of epoch 4.
ClaimGate MakeAskingGate() {
  ClaimGate gate = MakeGate(ClaimKeyRule::kRequired, "k");
  cr_assert(gate.Begin(kStart, 4, kLimit).action == Action::kAskOwner);
  return gate;
}

// Passes a reply with this decision to the gate.
ClaimGateStep Reply(ClaimGate& gate, ClaimDecision decision, std::uint64_t epoch = 4,
                    TimePoint now = kStart) {
  ClaimReply reply;
  reply.decision = decision;
  reply.owner_map_epoch = epoch;
  reply.record.answer = "stored";
  return gate.HandleReply(now, reply);
}

}  // namespace

Test(claims_gate, only_requests_with_a_key_that_are_not_idempotent_need_a_claim) {
  const auto begin = [](ClaimKeyRule rule, std::string_view key, bool idempotent) {
    return MakeGate(rule, key, idempotent).Begin(kStart, 4, kLimit).action;
  };
  cr_assert(begin(ClaimKeyRule::kNone, "k", false) == Action::kRunNow);
  cr_assert(begin(ClaimKeyRule::kOptional, "", false) == Action::kRunNow);
  cr_assert(begin(ClaimKeyRule::kOptional, "k", true) == Action::kRunNow);
  cr_assert(begin(ClaimKeyRule::kOptional, "k", false) == Action::kAskOwner);
  cr_assert(begin(ClaimKeyRule::kRequired, "k", false) == Action::kAskOwner);
  cr_assert(begin(ClaimKeyRule::kRequired, "", false) == Action::kRefuseKeyMissing);
  cr_assert(begin(ClaimKeyRule::kRequired, "", true) == Action::kRefuseKeyMissing);
  ClaimGate gate = MakeGate(ClaimKeyRule::kRequired, "k");
  cr_assert(gate.Begin(kStart, 0, kLimit).action == Action::kRefuseNotRun, "no map is held");
  const ClaimRequest expected{"k", 42, 4, 9, "caller", 3};
  ClaimGate asking = MakeGate(ClaimKeyRule::kRequired, "k");
  cr_assert(asking.Begin(kStart, 4, kLimit).ask == expected);
}

Test(claims_gate, runs_once_and_reports_the_response) {
  ClaimGate gate = MakeAskingGate();
  cr_assert(Reply(gate, ClaimDecision::kGranted).action == Action::kRunNow);
  cr_assert(gate.IsStartAllowed(kStart) && !gate.IsStartAllowed(kStart + kLimit));
  const std::string response(kMaxStoredResponseBytes * 2, 'x');
  const ClaimGateStep step =
      gate.HandleResult({ClaimAttemptOutcome::kAnswered, 201, response, "text/plain"});
  cr_assert(step.action == Action::kForwardResponse && step.report->status_code == 201);
  cr_assert(step.report->outcome == ClaimOutcome::kDone && step.report->attempt_id == 9);
  cr_assert_eq(step.report->answer.size(), kMaxStoredResponseBytes + 1, "too long to be stored");
  cr_assert(Reply(gate, ClaimDecision::kGranted).action == Action::kRefuseNotRun);
}

Test(claims_gate, a_lost_result_is_outcome_unknown_and_an_unsent_request_is_not_run) {
  ClaimGate lost = MakeAskingGate();
  Reply(lost, ClaimDecision::kGranted);
  ClaimGateStep step = lost.HandleResult({ClaimAttemptOutcome::kLost, 0, "", ""});
  cr_assert(step.action == Action::kRefuseUnknown);
  cr_assert(step.report->outcome == ClaimOutcome::kLost);
  ClaimGate unsent = MakeAskingGate();
  Reply(unsent, ClaimDecision::kGranted);
  step = unsent.HandleResult({ClaimAttemptOutcome::kNotRun, 0, "", ""});
  cr_assert(step.action == Action::kRefuseNotRun);
  cr_assert(step.report->outcome == ClaimOutcome::kNotRun);
}

Test(claims_gate, an_attempt_without_a_reply_in_time_is_never_run_and_is_cancelled) {
  ClaimGate missing = MakeAskingGate();
  ClaimGate late = MakeAskingGate();
  ClaimGate unknown_decision = MakeAskingGate();
  ClaimGate abandoned = MakeAskingGate();
  for (const ClaimGateStep& step :
       {missing.HandleReply(kStart, std::nullopt),
        Reply(late, ClaimDecision::kGranted, 4, kStart + kLimit),
        Reply(unknown_decision, ClaimDecision::kUnknown), abandoned.Abandon()}) {
    cr_assert(step.action == Action::kRefuseNotRun);
    cr_assert(step.report.has_value() && step.report->outcome == ClaimOutcome::kNotRun);
  }
  cr_assert(Reply(missing, ClaimDecision::kGranted).action == Action::kRefuseNotRun);
  cr_assert(Reply(abandoned, ClaimDecision::kGranted).action == Action::kRefuseNotRun);
}

Test(claims_gate, forwards_the_decisions_of_the_owner) {
  ClaimGate done = MakeAskingGate();
  const ClaimGateStep step = Reply(done, ClaimDecision::kAlreadyDone);
  cr_assert(step.action == Action::kSendStoredResponse && step.stored->answer == "stored");
  cr_assert_not(step.report.has_value());
  ClaimGate unknown = MakeAskingGate();
  cr_assert(Reply(unknown, ClaimDecision::kOutcomeUnknown).action == Action::kRefuseUnknown);
  ClaimGate reused = MakeAskingGate();
  cr_assert(Reply(reused, ClaimDecision::kKeyReused).action == Action::kRefuseKeyReused);
  ClaimGate full = MakeAskingGate();
  cr_assert(Reply(full, ClaimDecision::kNotRun).action == Action::kRefuseNotRun);
}

Test(claims_gate, refreshes_the_map_a_bounded_number_of_times) {
  ClaimGate gate = MakeAskingGate();
  for (const std::uint64_t epoch : {std::uint64_t{5}, std::uint64_t{6}}) {
    cr_assert(Reply(gate, ClaimDecision::kNotRun, epoch).action == Action::kRefreshMap);
    const ClaimGateStep step = gate.AskAgain(kStart, epoch);
    cr_assert(step.action == Action::kAskOwner && step.ask->owner_map_epoch == epoch);
    cr_assert_eq(step.ask->attempt_id, 9);
  }
  cr_assert(Reply(gate, ClaimDecision::kNotRun, 7).action == Action::kRefuseNotRun);
  ClaimGate late = MakeAskingGate();
  Reply(late, ClaimDecision::kNotRun, 5);
  cr_assert(late.AskAgain(kStart + kLimit, 5).action == Action::kRefuseNotRun);
}
