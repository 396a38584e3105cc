#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Settings of the exchange with the store.
struct StoreBounds {
  // Shortest lease that the store grants.
  Duration min_lease{0};
  // Maximum time from the write of a version until it has to be in force.
  Duration table_bound{0};
  // Rate of this host's link in bytes per second; 0 if unknown.
  std::uint64_t link_bytes_per_second = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_
