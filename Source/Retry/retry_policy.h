#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_

#include <cstdint>
#include <string_view>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

class RetryBudget;

// What the rules say about the route of a request.
struct RetryRoute {
  bool idempotent = false;
  std::uint32_t retries = 0;
};

// State of a request after an attempt.
struct RetryAttempt {
  TargetOutcome outcome = TargetOutcome::kOk;
  // The answer carries the mark of a deeper level that has already decided.
  bool marked_do_not_retry = false;
  // An earlier attempt of the same request may have run.
  bool earlier_may_have_run = false;
  std::uint32_t attempts = 1;  // sent so far, including this one
  Duration time_left{0};       // until the deadline of the request
  Duration expected_latency{0};
  std::uint64_t bytes_sent_to_caller = 0;
};

enum class RetryAction {
  kDeliverAnswer,  // pass the target's complete answer on
  kRetryElsewhere,
  kGiveUpNotRun,   // refuse; the request did not run
  kGiveUpUnknown,  // refuse; the request may have run
};

enum class RetryReason {
  kAnswered,
  kMayRunAgain,      // retried because the route is idempotent
  kDidNotRun,        // retried because the request surely did not run
  kAnswerBegun,      // the caller has received a part of the answer
  kMarked,           // a deeper level has already decided
  kNotRepeatable,    // it may have run and the route is not idempotent
  kAttemptsUsedUp,   // the route allows no further attempt
  kTimeUsedUp,       // a further attempt would miss the deadline
  kBudgetExhausted,  // the retries of this service are used up
};

// Words for explain texts and logs.
std::string_view DescribeRetryReason(RetryReason reason);

struct RetryDecision {
  RetryAction action = RetryAction::kDeliverAnswer;
  RetryReason reason = RetryReason::kAnswered;
  // The answer to the caller carries the mark, so that upper levels do not retry.
  bool mark_do_not_retry = false;
};

// Decides whether a request is sent again.
class RetryPolicy {
 public:
  // Attempts after the first for a request that surely did not run, even on a route
  // without retries.
  static constexpr std::uint32_t kNotRunRetries = 2;

  // Whether a request may have run on a target whose attempt ended in this way.
  static bool MayHaveRun(TargetOutcome outcome);

  // Takes a token of the budget if the request is to be sent again.
  static RetryDecision Decide(TimePoint now, const RetryRoute& route, const RetryAttempt& attempt,
                              RetryBudget& budget);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_
