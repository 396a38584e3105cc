#ifndef LACEWINGBRIDGE_SOURCE_HTTP_BOOT_CLOCK_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_BOOT_CLOCK_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// The time that front ends give to decision logic. It also counts while the host is
// suspended, so leases and the age of reports stay true, and never goes back.
TimePoint GetNow();

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_BOOT_CLOCK_H_
