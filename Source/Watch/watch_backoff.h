#ifndef LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_
#define LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_

#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Uniform in [0, limit], the same on every platform for the same source.
Duration GetRandomDuration(Duration limit, std::mt19937_64& random);

// Exponential backoff with full jitter: each wait is uniform between 0 and a limit
// that doubles after each failure.
class WatchBackoff {
 public:
  WatchBackoff(Duration first_wait, Duration longest_wait);

  // The wait after one more failure.
  Duration GetNext(std::mt19937_64& random);

  // Starts over after a success.
  void Reset() { this->limit = this->first_limit; }

 private:
  Duration first_limit;
  Duration longest_limit;
  Duration limit;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_BACKOFF_H_
