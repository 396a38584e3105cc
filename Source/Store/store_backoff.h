#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Delay before the next call to a store that failed, doubled after each failure and randomised. It
// is designed for this load: all daemons of a fleet lose the store at the same moment and have to
// be back within two seconds of its return without exceeding its rate limits.
class StoreBackoff {
 public:
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  // Half of the two seconds within which hosts have to be listed again.
  static constexpr Duration kMaxPause = std::chrono::milliseconds(1000);

  template <std::uniform_random_bit_generator Random>
  Duration GetNext(Random& random) {
    const Duration most = this->pause;
    this->pause = std::min(this->pause * 2, kMaxPause);
    return Duration(
        std::uniform_int_distribution<Duration::rep>(most.count() / 2, most.count())(random));
  }
  void Reset() { this->pause = kFirstPause; }

 private:
  Duration pause = kFirstPause;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_
