// Guards against daemons that together exceed the fleet-wide limit on retries. No daemon knows the
// counts of the others, so the share of each one must keep the sum within the limit.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

#include "Retry/fleet_retry_budget.h"
#include "Retry/request_progress.h"
#include "Retry/run_attribution.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

Test(fleet_retry_budget, keeps_the_bound_over_all_daemons_in_every_window) {
  cr_assert(rc::check([] {
    const std::size_t daemons = *rc::gen::inRange<std::size_t>(1, 8);
    const RetryBound bound{0.2, 40, seconds(10), daemons};
    std::vector<FleetRetryBudget> budgets(daemons);
    for (FleetRetryBudget& budget : budgets) {
      budget.SetBound(bound);
    }
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const auto steps = *rc::gen::container<std::vector<int>>(1500, rc::gen::inRange(0, 40));
    TimePoint now(seconds(100));
    for (std::size_t i = 0; i < steps.size(); ++i) {
      now += milliseconds(steps[i]);
      FleetRetryBudget& budget = budgets[i % daemons];
      if (steps[i] % 2 == 0) {
        budget.RecordRequest(now);
        requests.push_back(now);
      }
      if (budget.TryTake(now)) {
        retries.push_back(now);
      }
      while (!retries.empty() && now - retries.front() > bound.window) {
        retries.pop_front();
      }
      while (!requests.empty() && now - requests.front() > bound.window) {
        requests.pop_front();
      }
      RC_ASSERT(static_cast<double>(retries.size()) <=
                bound.ratio * static_cast<double>(requests.size()) + bound.slack);
    }
  }));
}

Test(fleet_retry_budget, allows_retries_again_after_the_window) {
  FleetRetryBudget budget;
  budget.SetBound({0.2, 4, seconds(10), 1});
  const TimePoint start(seconds(50));
  int taken = 0;
  while (budget.TryTake(start)) {
    ++taken;
  }
  cr_assert_eq(taken, 2);
  cr_assert(!budget.TryTake(start + seconds(9)));
  cr_assert(budget.TryTake(start + seconds(11)));
}

namespace {

// A chain of services in which every run of one calls the next one, and the last one rejects a part
// of its requests for a while. Each host has a daemon and a target of one service.
class CallChain {
 public:
  CallChain(std::size_t service_count, std::size_t daemon_count, std::uint64_t seed)
      : daemons(daemon_count),
        random(seed),
        budgets(service_count, std::vector<FleetRetryBudget>(daemon_count)),
        runs(daemon_count),
        requests(service_count),
        repeats(service_count) {
    for (std::vector<FleetRetryBudget>& service : this->budgets) {
      for (FleetRetryBudget& budget : service) {
        budget.SetBound(RetryBound{kRatio, kSlack, kWindow, daemon_count});
      }
    }
    for (RunAttribution& host : this->runs) {
      host.SetWindow(kWindow);
    }
  }

  void SetRejectedShare(double share) { this->rejected_share = share; }

  // Sends one request to a service from any host. Returns whether it succeeded.
  bool Send(TimePoint now, std::size_t service) {
    return this->Send(now, service, this->DrawHost(), false);
  }

  // Whether the repeats that reached a service within the last window are within the bound.
  bool IsWithinBound(TimePoint now, std::size_t service) {
    Forget(now, this->requests[service]);
    Forget(now, this->repeats[service]);
    return static_cast<double>(this->repeats[service].size()) <=
           kRatio * static_cast<double>(this->requests[service].size()) + kSlack;
  }

 private:
  static constexpr double kRatio = 0.2;
  static constexpr double kSlack = 56;
  static constexpr Duration kWindow = seconds(10);
  static constexpr int kCallsPerRun = 2;
  static constexpr double kCallingShare = 0.7;

  static void Forget(TimePoint now, std::deque<TimePoint>& times) {
    while (!times.empty() && now - times.front() > kWindow) {
      times.pop_front();
    }
  }

  std::size_t DrawHost() {
    return std::uniform_int_distribution<std::size_t>(0, this->daemons - 1)(this->random);
  }
  bool Draw(double share) { return std::bernoulli_distribution(share)(this->random); }

  // `repeated_run` says whether a run that is a repeat makes this request.
  bool Send(TimePoint now, std::size_t service, std::size_t host, bool repeated_run) {
    const double share = this->runs[host].GetRepeatShare();
    this->budgets[service][host].RecordRequest(now, share);
    this->requests[service].push_back(now);
    RequestFacts facts;
    facts.arrived_at = now;
    facts.deadline = facts.timeout_at = now + seconds(1);
    facts.max_attempts = 3;
    facts.idempotent = true;
    RequestProgress progress(facts);
    ProgressDecision decision;
    while (decision.action == ProgressAction::kPlace) {
      const bool repeated = repeated_run || progress.IsRetry();
      const HopEnd end = this->Run(now, service, progress.IsRetry() ? 1 : share, repeated);
      if (repeated && end.outcome != HopOutcome::kRefused) {
        this->repeats[service].push_back(now);
      }
      decision = progress.HandleHopEnd(now, end, this->budgets[service][host]);
      if (decision.action == ProgressAction::kDeliver && end.status < 500) {
        return true;
      }
    }
    this->runs[host].RecordFailedCall(now);
    return false;
  }

  HopEnd Run(TimePoint now, std::size_t service, double repeat_share, bool repeated) {
    if (service + 1 == this->budgets.size()) {
      return {this->Draw(this->rejected_share) ? HopOutcome::kNotRun : HopOutcome::kAnswered, 200};
    }
    const std::size_t host = this->DrawHost();
    const RunAttribution& attribution = this->runs[host];
    if (repeat_share == 1 &&
        !this->budgets[service + 1][host].HasRoomForCalls(now, attribution.GetRunningRepeats() + 1,
                                                          attribution.CountRuns(now))) {
      return {HopOutcome::kRefused, 0};
    }
    this->runs[host].RecordStart(now, repeat_share);
    bool succeeded = true;
    if (this->Draw(kCallingShare)) {
      for (int call = 0; call < kCallsPerRun; ++call) {
        succeeded = this->Send(now, service + 1, host, repeated) && succeeded;
      }
    }
    const bool call_failed = this->runs[host].HasFailedCallSince(now);
    this->runs[host].RecordEnd(repeat_share);
    return {HopOutcome::kAnswered, succeeded ? 200U : 500U, call_failed};
  }

  std::size_t daemons;
  std::mt19937_64 random;
  std::vector<std::vector<FleetRetryBudget>> budgets;
  std::vector<RunAttribution> runs;
  // When requests and repeats arrived, by service.
  std::vector<std::deque<TimePoint>> requests;
  std::vector<std::deque<TimePoint>> repeats;
  double rejected_share = 0;
};

}  // namespace

// Guards against calls of repeated runs that exceed the bound of the service that is called. When
// that service rejected half of its requests, the runs that failed were repeated, each repeat made
// its calls again, and these calls doubled the retries that the called service's own budget
// granted.
Test(fleet_retry_budget, keeps_the_bound_when_repeated_runs_make_calls) {
  cr_assert(rc::check([] {
    const std::size_t services = *rc::gen::inRange<std::size_t>(2, 4);
    const std::size_t daemons = *rc::gen::inRange<std::size_t>(4, 40);
    const double rejected_share = *rc::gen::inRange(10, 95) / 100.0;
    const int per_second = *rc::gen::inRange(20, 400);
    CallChain chain(services, daemons, *rc::gen::arbitrary<std::uint64_t>());
    const TimePoint begin(seconds(100));
    for (int i = 0; i < 25 * per_second; ++i) {
      const TimePoint now = begin + seconds(1) * i / per_second;
      chain.SetRejectedShare(now < begin + seconds(8) ? 0 : rejected_share);
      chain.Send(now, 0);
      for (std::size_t service = 0; service < services; ++service) {
        RC_ASSERT(chain.IsWithinBound(now, service));
      }
    }
  }));
}

// Guards against a daemon that starts again and grants the part of the slack that its earlier
// process has already granted within the window.
Test(fleet_retry_budget, takes_no_part_of_the_slack_before_a_window_has_passed) {
  FleetRetryBudget budget;
  const TimePoint start(seconds(50));
  budget.SetBound({0.2, 100, seconds(10), 1, start + seconds(10)});
  cr_assert(!budget.TryTake(start + seconds(9)));
  cr_assert(budget.TryTake(start + seconds(10)));
}
