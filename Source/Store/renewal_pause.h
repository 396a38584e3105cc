#ifndef LACEWINGBRIDGE_SOURCE_STORE_RENEWAL_PAUSE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_RENEWAL_PAUSE_H_

#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns the delay between two renewals of a lease. Two of them may fail before the lease ends.
// Daemons that were started together do not renew together, so that even a short silence of the
// store makes the renewal of some daemon fail.
inline Duration ComputeRenewalPause(Duration lease_time, std::mt19937_64& random) {
  constexpr Duration::rep kRenewalsPerLease = 3;
  constexpr Duration::rep kJitterDivisor = 8;
  const Duration longest = lease_time / kRenewalsPerLease;
  std::uniform_int_distribution<Duration::rep> shorter(0, longest.count() / kJitterDivisor);
  return longest - Duration(shorter(random));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_RENEWAL_PAUSE_H_
