#ifndef LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_

#include <cstddef>

#include "Core/time_point.h"
#include "Retry/window_counter.h"

namespace lacewingbridge {

// Upper limit on the retries that reach one service in a time window, summed over all daemons.
// The limit is ratio * (requests in the window) + slack.
struct RetryBound {
  double ratio = 0.2;       // retries per request for the service
  double slack = 0;         // retries allowed in addition to the ratio
  Duration window{0};       // the limit holds in every time span of this length
  std::size_t daemons = 1;  // number of daemons that share the slack
  // Before this time the daemon takes no part of the slack: an earlier process of its host may have
  // used it within the same window.
  TimePoint slack_from;
};

// This daemon's share of a fleet-wide RetryBound for one service. The daemons do not exchange
// their counts. Each applies the ratio to its own requests and takes an equal part of the slack,
// so the sum over all daemons stays within the bound without any message.
//
// A retried request calls other services again, and the bound counts those calls as retries there.
// They cannot be refused one by one, because the run would fail. The bound is therefore divided:
// one part is granted to retries of this daemon's requests, and another one covers the calls of
// repeated runs of the local target. The daemon refuses to start a repeated run that the second
// part has no room for.
//
// Not thread-safe.
class FleetRetryBudget {
 public:
  // Fraction of the bound that is granted to retries.
  static constexpr double kGrantedFraction = 0.5;
  // Part of it that is granted to a retry whose first run failed because a call failed. Such a
  // retry makes the calls again, beside the retries of the calls themselves.
  static constexpr double kFailedCallPart = 0.25;
  // Fraction of the bound that covers the calls of repeated runs. The rest allows for the
  // difference between the expected and the actual number of calls.
  static constexpr double kCallsFraction = 0.4;

  void SetBound(const RetryBound& new_bound);

  // Must be called once for each request of a caller, not for its retries. `repeat_share` is the
  // probability that the request is a call of a repeated run.
  void RecordRequest(TimePoint now, double repeat_share = 0);

  // Counts one retry and returns true, or returns false if that part of what this daemon may grant
  // is used up.
  bool TryTake(TimePoint now, double part = 1);

  // Whether there is room for the calls of so many repeated runs of the local target, which made
  // `runs` runs within the window.
  bool HasRoomForCalls(TimePoint now, double repeated_runs, double runs) const;

 private:
  // Returns the number of retries that the bound allows this daemon.
  double GetShare(TimePoint now) const;

  RetryBound bound;
  WindowCounter requests;
  WindowCounter retries;
  // Expected number of requests that were calls of repeated runs.
  WindowCounter repeated_calls;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_FLEET_RETRY_BUDGET_H_
