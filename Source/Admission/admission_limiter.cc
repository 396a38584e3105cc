#include "Admission/admission_limiter.h"

#include <algorithm>
#include <cmath>

namespace lacewingbridge {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
// Tolerance for rounding errors: a request has to pass at the time that GetRetryAfter returned,
// even if its token is then incomplete by a rounding error.
constexpr double kRounding = 1e-9;

}  // namespace

AdmissionLimiter::AdmissionLimiter(TimePoint now, double rate, double burst)
    : rate_per_second(rate),
      burst_size(std::max(burst, 1.0)),
      tokens(this->burst_size),
      filled_at(now) {}

void AdmissionLimiter::SetLimit(TimePoint now, double rate, double burst) {
  const double held = this->GetTokens(now);
  this->rate_per_second = rate;
  this->burst_size = std::max(burst, 1.0);
  this->tokens = std::min(held, this->burst_size);
  this->filled_at = std::max(now, this->filled_at);
}

bool AdmissionLimiter::TryTake(TimePoint now) {
  this->tokens = this->GetTokens(now);
  this->filled_at = std::max(now, this->filled_at);
  if (this->tokens + kRounding < 1) {
    return false;
  }
  this->tokens = std::max(this->tokens - 1, 0.0);
  return true;
}

Duration AdmissionLimiter::GetRetryAfter(TimePoint now) const {
  const double missing = 1 - this->GetTokens(now);
  if (missing <= kRounding) {
    return Duration{0};
  }
  if (this->rate_per_second <= 0) {
    return Duration::max();
  }
  return Duration(static_cast<Duration::rep>(
      std::ceil(missing / this->rate_per_second * kMicrosecondsPerSecond)));
}

double AdmissionLimiter::GetTokens(TimePoint now) const {
  const double elapsed_us =
      static_cast<double>(std::max(now - this->filled_at, Duration{0}).count());
  return std::min(this->burst_size,
                  this->tokens + elapsed_us * this->rate_per_second / kMicrosecondsPerSecond);
}

}  // namespace lacewingbridge
