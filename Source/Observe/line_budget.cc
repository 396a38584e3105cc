#include "Observe/line_budget.h"

#include <algorithm>
#include <utility>

namespace lacewingbridge {

LineVerdict LineBudget::Take(TimePoint now) {
  const std::chrono::duration<double> elapsed = std::max(now - this->filled_at, Duration{0});
  this->filled_at = std::max(now, this->filled_at);
  this->tokens = std::min(kBurst, this->tokens + elapsed.count() * kLinesPerSecond);
  if (this->tokens < 1) {
    ++this->dropped;
    return {};
  }
  this->tokens -= 1;
  return {true, std::exchange(this->dropped, 0)};
}

}  // namespace lacewingbridge
