#ifndef LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "Core/time_point.h"
#include "Retry/request_facts.h"
#include "mesh.h"

namespace lacewingbridge {

class FleetRetryBudget;

// What the caller's daemon does next with a request.
enum class ProgressAction {
  kPlace,        // send it to another daemon
  kDeliver,      // forward the target's response to the caller
  kRefuse,       // refuse it as not run: it has not run and never will, so a resend is safe
  kFailUnknown,  // fail it with outcome unknown: it may have run, and there is no usable response
  kTimeout,      // fail it as timed out: the deadline or timeout has passed, and it may have run
};

// Why a ProgressAction was taken, for logs and metrics.
enum class ProgressReason {
  kFirst,             // no hop was made yet
  kResponseReceived,  // the target responded
  kNoCapacity,        // a daemon refused the hop
  kTargetRefused,     // the request was passed to a target but did not run there
  kMayRunAgain,       // it may have run, but the route is idempotent
  kNotRepeatable,     // it may have run, and the route is not idempotent
  kAttemptsUsedUp,    // RequestFacts::max_attempts is reached
  kHopsUsedUp,        // kMaxRefusedHops is reached
  kBudgetUsedUp,      // the retry budget of the service is used up
  kTimedOut,          // the deadline or the timeout of the route has passed
  kNoTarget,          // there is no daemon to send it to, and none has refused it
  kQuarantined,       // the request is quarantined because it crashed too many targets
  kCallFailed,        // a call of the run failed; running it again would make its calls again
  kProofExpired,      // the API key of the request is no longer known to be valid
  kBeyondShare,       // enough targets have refused the workspace as beyond its fair share
  kFalseRefusal,      // the target ran it and responded with a status that means "not run"
};

// Whether callers take a response with this status as the promise that the request has not run and
// never will, so that they send even a request again that must not run twice.
constexpr bool PromisesNoRun(unsigned status) {
  constexpr unsigned kRequestTimeout = 408;
  constexpr unsigned kMisdirectedRequest = 421;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kServiceUnavailable = 503;
  return status == kRequestTimeout || status == kMisdirectedRequest || status == kTooManyRequests ||
         status == kServiceUnavailable;
}

// Returns the word for the reason that logs and metrics show, for example "no_room".
std::string_view DescribeProgressReason(ProgressReason reason);

// The next action for a request, and the reason for it.
struct ProgressDecision {
  ProgressAction action = ProgressAction::kPlace;
  ProgressReason reason = ProgressReason::kFirst;
};

// Outcome of a hop as the caller's daemon sees it.
struct HopEnd {
  HopOutcome outcome = HopOutcome::kNone;
  // HTTP status of the target's response. Only set if the outcome is kAnswered.
  unsigned status = 0;
  // A call that the target made through its daemon failed while it ran the request.
  bool call_failed = false;
  // It was refused because its workspace is beyond its fair share of the target.
  bool beyond_share = false;
};

// Whether the target ran the request to its end, so that the request does not crash each target
// that begins to run it. An error response may come from a run that was given up.
constexpr bool ProvesNoCrash(const HopEnd& end) {
  constexpr unsigned kFirstServerError = 500;
  return end.outcome == HopOutcome::kAnswered && end.status < kFirstServerError;
}

// State of one request at the caller's daemon. It tracks the hops that were made and whether the
// request may have run, and decides the next action. It decides kRefuse only if no hop can have
// run the request. For the same reason it does not decide kDeliver for a target's response that
// promises that a request has not run although it has.
class RequestProgress {
 public:
  explicit RequestProgress(const RequestFacts& request_facts) : facts(request_facts) {}

  // The request has to end by this time, because this daemon stops.
  void LimitDeadline(TimePoint limit) {
    this->facts.deadline = std::min(this->facts.deadline, limit);
  }
  // Decides whether the request is placed at all. `count` is the number of targets that have just
  // refused other requests of the same workspace because it is beyond its share. They count as if
  // they had refused this request.
  ProgressDecision HandleShareRefusals(std::size_t count);
  // Records the end of a hop and decides what follows. Takes a retry from the budget if the
  // request is to be sent to a target again.
  ProgressDecision HandleHopEnd(TimePoint now, const HopEnd& end, FleetRetryBudget& budget);
  // Decides how the request ends if there is no other daemon to send it to.
  ProgressDecision HandleNoCandidate(TimePoint now) const;
  // The same if the daemons beside all others have stated that its workspace is beyond its share.
  ProgressDecision HandleBeyondShare(TimePoint now) const;
  // Decides how the request ends if its API key is no longer known to be valid.
  ProgressDecision HandleProofExpired() const { return this->End(ProgressReason::kProofExpired); }
  // Decides how the request ends if its deadline or timeout has passed.
  ProgressDecision HandleTimeout() const;

  bool MayHaveRun() const { return this->may_have_run; }
  // Whether the next hop is a retry, that is, the request was passed to a target before.
  bool IsRetry() const { return this->target_attempts > 0; }

 private:
  // `part` is the part of the budget that this kind of retry may use; see FleetRetryBudget.
  ProgressDecision DecideRetry(TimePoint now, ProgressReason cause, double part,
                               FleetRetryBudget& budget);
  // Decides what follows the response of a target that ran the request.
  ProgressDecision HandleResponse(TimePoint now, const HopEnd& end, FleetRetryBudget& budget);
  // Ends the request: with outcome unknown if it may have run, otherwise with a refusal.
  ProgressDecision End(ProgressReason reason) const;

  RequestFacts facts;
  // Hops whose daemon passed the request to a target.
  std::uint32_t target_attempts = 0;
  std::uint32_t refused_hops = 0;
  std::size_t share_refusals = 0;
  bool may_have_run = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_
