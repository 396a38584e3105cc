#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_LIMITER_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_ADMISSION_LIMITER_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// Token bucket that applies the rate limit of one rule. Not thread-safe.
class AdmissionLimiter {
 public:
  // The rate is in requests per second; the burst is the size of the bucket in requests and at
  // least 1. The bucket starts full.
  AdmissionLimiter(TimePoint now, double rate, double burst);

  // Applies a changed rule and drops the tokens above the new burst.
  void SetLimit(TimePoint now, double rate, double burst);

  // Takes one token; returns false if there is none.
  bool TryTake(TimePoint now);

  // Returns the time until the next token is available; Duration::max() if the rate is zero.
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
