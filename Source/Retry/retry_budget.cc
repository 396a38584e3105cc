#include "Retry/retry_budget.h"

#include <algorithm>

namespace lacewingbridge {

void RetryBudget::RecordRequest(TimePoint now) { this->Fill(now, kTokensPerRequest); }

bool RetryBudget::TryTake(TimePoint now) {
  this->Fill(now, 0);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

void RetryBudget::Fill(TimePoint now, double request_tokens) {
  const std::chrono::duration<double> elapsed = std::max(now - this->filled_at, Duration{0});
  this->filled_at = std::max(now, this->filled_at);
  this->tokens =
      std::min(kMaxTokens, this->tokens + request_tokens + elapsed.count() * kTokensPerSecond);
}

}  // namespace lacewingbridge
