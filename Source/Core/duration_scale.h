#ifndef LACEWINGBRIDGE_SOURCE_CORE_DURATION_SCALE_H_
#define LACEWINGBRIDGE_SOURCE_CORE_DURATION_SCALE_H_

#include "Core/time_point.h"

namespace lacewingbridge {

// A duration times a factor, rounded towards zero.
constexpr Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_DURATION_SCALE_H_
