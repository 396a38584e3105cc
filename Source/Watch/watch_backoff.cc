#include "Watch/watch_backoff.h"

#include <algorithm>
#include <cstdint>

namespace lacewingbridge {

Duration GetRandomDuration(Duration limit, std::mt19937_64& random) {
  if (limit <= Duration::zero()) {
    return Duration::zero();
  }
  // std::uniform_int_distribution is not used because its results differ between standard
  // libraries. The bias of the remainder is below 2^-20 for limits up to an hour.
  const auto choices = static_cast<std::uint64_t>(limit.count()) + 1;
  return Duration(static_cast<Duration::rep>(random() % choices));
}

WatchBackoff::WatchBackoff(Duration first_wait, Duration longest_wait)
    : first_limit(std::min(first_wait, longest_wait)),
      longest_limit(longest_wait),
      limit(this->first_limit) {}

Duration WatchBackoff::GetNext(std::mt19937_64& random) {
  const Duration wait = GetRandomDuration(this->limit, random);
  this->limit = std::min(this->longest_limit, this->limit * 2);
  return wait;
}

}  // namespace lacewingbridge
