#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_BACKOFF_H_

#include <algorithm>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Pause before the next call of a store that failed. The load pattern it answers: all
// daemons of a fleet that lost the store at the same moment and must be back within two
// seconds of its return without exceeding its rates.
class StoreBackoff {
 public:
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  // Half of the two seconds in which listed hosts have to be back.
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
