#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// Limits the retries of one service to a share of its requests.
class RetryBudget {
 public:
  static constexpr double kTokensPerRequest = 0.1;
  // Lets a service with few requests retry once in 10 s.
  static constexpr double kTokensPerSecond = 0.1;
  // Bounds the burst of retries after a quiet time.
  static constexpr double kMaxTokens = 10;
  static constexpr double kInitialTokens = 1;

  explicit RetryBudget(TimePoint now) : filled_at(now) {}

  // To be called once for each request of a caller, not for its retries.
  void RecordRequest(TimePoint now);

  // Takes the token of one retry; false if the budget is used up.
  bool TryTake(TimePoint now);

 private:
  void Fill(TimePoint now, double request_tokens);

  double tokens = kInitialTokens;
  TimePoint filled_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_
