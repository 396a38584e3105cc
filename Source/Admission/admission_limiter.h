#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_LIMITER_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_LIMITER_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// Token bucket of one limit rule.
class AdmissionLimiter {
 public:
  AdmissionLimiter(TimePoint now, double rate, double burst);

  // Applies a changed rule; tokens above the new burst are dropped.
  void SetLimit(TimePoint now, double rate, double burst);

  bool TryTake(TimePoint now);

  // Time until the next request can pass.
  Duration GetRetryAfter(TimePoint now) const;

 private:
  double GetTokens(TimePoint now) const;

  double rate_per_second;
  double burst_size;
  double tokens;
  TimePoint filled_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_LIMITER_H_
