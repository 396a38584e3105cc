#include "overload_amplification.h"

#include <fmt/core.h>

#include <cmath>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "Retry/retry_budget.h"
#include "Retry/retry_policy.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kLevels = 17;
constexpr int kRequests = 20000;
constexpr std::uint32_t kRetries = 2;

// A chain of services, each behind a daemon with its own budget.
class CallChain {
 public:
  explicit CallChain(bool forwards_mark)
      : forwards(forwards_mark), budgets(kLevels, RetryBudget(TimePoint{})), calls(kLevels) {}

  // Returns whether the failure carries the mark.
  bool Call(TimePoint now, std::size_t level) {
    this->budgets[level].RecordRequest(now);
    RetryAttempt attempt;
    attempt.outcome = TargetOutcome::kFailed;
    attempt.time_left = std::chrono::seconds(1);
    for (;; ++attempt.attempts) {
      ++this->calls[level];
      attempt.marked_do_not_retry = level + 1 < kLevels && this->Call(now, level + 1);
      const RetryDecision decision =
          RetryPolicy::Decide(now, {true, kRetries}, attempt, this->budgets[level]);
      if (decision.action != RetryAction::kRetryElsewhere) {
        return this->forwards && decision.mark_do_not_retry;
      }
    }
  }

  double GetLeafAmplification() const {
    return static_cast<double>(this->calls.back()) / kRequests;
  }

 private:
  bool forwards;
  std::vector<RetryBudget> budgets;
  std::vector<std::uint64_t> calls;
};

double MeasureAmplification(bool forwards_mark) {
  CallChain chain(forwards_mark);
  for (int i = 0; i < kRequests; ++i) {
    chain.Call(TimePoint(std::chrono::milliseconds(i)), 0);
  }
  return chain.GetLeafAmplification();
}

}  // namespace

void PrintAmplification() {
  fmt::print("calls of the deepest level for each request, {} levels, all of its calls fail\n",
             kLevels);
  fmt::print("  {} retries at each level, no budget (computed): {:.0f}\n", kRetries,
             std::pow(kRetries + 1, kLevels));
  fmt::print("  budget, mark lost by the services:             {:.2f}\n",
             MeasureAmplification(false));
  fmt::print("  budget and mark:                               {:.2f}\n",
             MeasureAmplification(true));
}

}  // namespace lacewingbridge
