#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// What the settings say about the exchange with the store.
struct StoreBounds {
  // Shortest lease that the store grants.
  Duration min_lease{0};
  // A version has to be in force this long after it was written.
  Duration table_bound{0};
  // Rate of this host's link; 0 when it is not known.
  std::uint64_t link_bytes_per_second = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_BOUNDS_H_
