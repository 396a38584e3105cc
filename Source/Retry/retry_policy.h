#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_

#include <cstdint>
#include <string_view>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

class RetryBudget;

// Retry settings of the route of a request, from the rules.
struct RetryRoute {
  bool idempotent = false;
  std::uint32_t retries = 0;  // attempts allowed after the first one; only if idempotent
};

// State of a request after an attempt.
struct RetryAttempt {
  TargetOutcome outcome = TargetOutcome::kOk;
  // The response has the do-not-retry mark: a daemon further down the call chain has already
  // decided about retries.
  bool marked_do_not_retry = false;
  // An earlier attempt of the same request may have run.
  bool earlier_may_have_run = false;
  std::uint32_t attempts = 1;              // attempts so far, including this one
  Duration time_left{0};                   // until the deadline of the request
  Duration expected_latency{0};            // of another attempt
  std::uint64_t bytes_sent_to_caller = 0;  // bytes of the response
};

enum class RetryAction {
  kDeliverResponse,  // forward the complete response of the target
  kRetryElsewhere,   // retry on another target
  kGiveUpNotRun,     // refuse it as not run
  kGiveUpUnknown,    // fail it with outcome unknown, because it may have run
};

enum class RetryReason {
  kResponseReceived,
  kMayRunAgain,       // retried because the route is idempotent
  kDidNotRun,         // retried because the request did not run
  kResponseStarted,   // not retried: the caller has received a part of the response
  kMarkedDoNotRetry,  // not retried: the response has the do-not-retry mark
  kNotRepeatable,     // not retried: it may have run and the route is not idempotent
  kAttemptsUsedUp,    // not retried: the route allows no further attempt
  kTimeUsedUp,        // not retried: another attempt would miss the deadline
  kBudgetExhausted,   // not retried: the retry budget of the service is used up
};

// Returns a text about the reason for the output of explain and for logs.
std::string_view DescribeRetryReason(RetryReason reason);

struct RetryDecision {
  RetryAction action = RetryAction::kDeliverResponse;
  RetryReason reason = RetryReason::kResponseReceived;
  // Whether the response to the caller gets the do-not-retry mark, so that daemons further up the
  // call chain do not retry. Retries at every level would multiply the load.
  bool mark_do_not_retry = false;
};

// Decides after an attempt whether the request is retried.
class RetryPolicy {
 public:
  // Attempts allowed after the first one if the request did not run. It also applies to a route
  // without retries, because such a retry cannot run the request twice.
  static constexpr std::uint32_t kNotRunRetries = 2;

  // Whether a request may have run on the target if its attempt had this outcome.
  static bool MayHaveRun(TargetOutcome outcome);

  // Decides about one attempt. Takes a token from the budget if the request is to be retried.
  static RetryDecision Decide(TimePoint now, const RetryRoute& route, const RetryAttempt& attempt,
                              RetryBudget& budget);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETRY_POLICY_H_
