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
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  // Half of the two seconds within which hosts have to be listed again.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(1000);

  template <std::uniform_random_bit_generator Random>
  Duration GetNext(Random& random) {
    const Duration max_delay = this->backoff;
    this->backoff = std::min(this->backoff * 2, kMaxBackoff);
    return Duration(std::uniform_int_distribution<Duration::rep>(max_delay.count() / 2,
                                                                 max_delay.count())(random));
  }
  void Reset() { this->backoff = kInitialBackoff; }

 private:
  Duration backoff = kInitialBackoff;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_
