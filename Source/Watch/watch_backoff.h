#ifndef LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_
#define LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_

#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns a duration that is uniformly distributed in [0, limit]. The same random source gives the
// same result on every platform.
Duration GetRandomDuration(Duration limit, std::mt19937_64& random);

// Exponential backoff with full jitter: each wait is uniformly distributed between 0 and a limit.
// The limit starts at first_wait and doubles after each failure up to longest_wait.
class WatchBackoff {
 public:
  WatchBackoff(Duration first_wait, Duration longest_wait);

  // Returns the wait after one more failure and doubles the limit.
  Duration GetNext(std::mt19937_64& random);

  // Sets the limit back to first_wait after a success.
  void Reset() { this->limit = this->first_limit; }

 private:
  Duration first_limit;
  Duration longest_limit;
  Duration limit;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_
