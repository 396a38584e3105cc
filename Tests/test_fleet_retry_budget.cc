// Guards against daemons that together exceed the fleet-wide limit on retries. No daemon knows the
// counts of the others, so the share of each one must keep the sum within the limit.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <vector>

#include "Retry/fleet_retry_budget.h"

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
