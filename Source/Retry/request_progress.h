#ifndef LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "Core/time_point.h"
#include "Retry/request_facts.h"
#include "mesh.h"

namespace lacewingbridge {

class FleetRetryBudget;

enum class ProgressAction {
  kPlace,        // send it to a further daemon
  kDeliver,      // pass the target's answer on
  kRefuse,       // it has not run and never will: the caller may send it again
  kFailUnknown,  // it may have run, and no usable answer came
  kTimeout,      // its time is over, and it may have run
};

// One reason for each way a decision can come about, for logs and metrics.
enum class ProgressReason {
  kFirst,
  kAnswered,
  kNoRoom,
  kTargetRefused,
  kMayRunAgain,
  kNotRepeatable,
  kAttemptsUsedUp,
  kHopsUsedUp,
  kBudgetUsedUp,
  kTimeOver,
  kNoTarget,
  kQuarantined,
};

std::string_view DescribeProgressReason(ProgressReason reason);

struct ProgressDecision {
  ProgressAction action = ProgressAction::kPlace;
  ProgressReason reason = ProgressReason::kFirst;
};

// How a hop ended, as the caller's daemon sees it.
struct HopEnd {
  HopOutcome outcome = HopOutcome::kNone;
  // Status of the target's answer; only for kAnswered.
  unsigned status = 0;
};

// Life of one request at the caller's daemon: which hops it has made, whether it may have
// run, and what comes next. A refusal is decided only while every hop is known not to have
// run the request.
class RequestProgress {
 public:
  explicit RequestProgress(const RequestFacts& request_facts) : facts(request_facts) {}

  ProgressDecision NoteHopEnd(TimePoint now, const HopEnd& end, FleetRetryBudget& budget);
  // There is no further daemon to ask.
  ProgressDecision NoteNoCandidate(TimePoint now) const;
  ProgressDecision NoteTimeOver() const;

  bool MayHaveRun() const { return this->may_have_run; }
  // Whether the next hop repeats a request that a target has received before.
  bool IsRepeat() const { return this->passed_on > 0; }

 private:
  ProgressDecision DecideRepeat(TimePoint now, ProgressReason cause, FleetRetryBudget& budget);
  ProgressDecision End(ProgressReason reason) const;

  RequestFacts facts;
  std::uint32_t passed_on = 0;
  std::uint32_t refused_hops = 0;
  bool may_have_run = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_REQUEST_PROGRESS_H_
