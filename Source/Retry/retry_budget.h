#ifndef LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_
#define LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// Token bucket that limits the retries for one service to a fraction of its requests. Each retry
// takes one token. The class is not thread-safe.
class RetryBudget {
 public:
  static constexpr double kTokensPerRequest = 0.1;
  // Allows a service with few requests one retry every 10 s.
  static constexpr double kTokensPerSecond = 0.1;
  // Limits the burst of retries after a period with few retries.
  static constexpr double kMaxTokens = 10;
  static constexpr double kInitialTokens = 1;

  explicit RetryBudget(TimePoint now) : filled_at(now) {}

  // Must be called once for each request of a caller, not for its retries.
  void RecordRequest(TimePoint now);

  // Takes the token for one retry and returns true, or returns false if the budget is used up.
  bool TryTake(TimePoint now);

 private:
  // Adds the tokens earned since the last call and those earned by requests.
  void Fill(TimePoint now, double request_tokens);

  double tokens = kInitialTokens;
  TimePoint filled_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RETRY_RETRY_BUDGET_H_
