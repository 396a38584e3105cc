#include "Retry/fleet_retry_budget.h"

#include <algorithm>

namespace lacewingbridge {

void FleetRetryBudget::SetBound(const RetryBound& new_bound) {
  this->bound = new_bound;
  this->requests.SetWindow(new_bound.window);
  this->retries.SetWindow(new_bound.window);
  this->repeated_calls.SetWindow(new_bound.window);
}

double FleetRetryBudget::GetShare(TimePoint now) const {
  const auto daemons = static_cast<double>(std::max<std::size_t>(this->bound.daemons, 1));
  const double slack = now < this->bound.slack_from ? 0 : this->bound.slack / daemons;
  return this->bound.ratio * this->requests.GetSum(now) + slack;
}

void FleetRetryBudget::RecordRequest(TimePoint now, double repeat_share) {
  this->requests.Add(now, 1);
  if (repeat_share > 0) {
    this->repeated_calls.Add(now, repeat_share);
  }
}

bool FleetRetryBudget::TryTake(TimePoint now, double part) {
  if (this->retries.GetSum(now) + 1 > part * kGrantedFraction * this->GetShare(now)) {
    return false;
  }
  this->retries.Add(now, 1);
  return true;
}

bool FleetRetryBudget::HasRoomForCalls(TimePoint now, double repeated_runs, double runs) const {
  const double calls_per_run = this->requests.GetSum(now) / std::max(runs, 1.0);
  return this->repeated_calls.GetSum(now) + repeated_runs * calls_per_run <=
         kCallsFraction * this->GetShare(now);
}

}  // namespace lacewingbridge
