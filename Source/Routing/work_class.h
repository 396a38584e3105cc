#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_WORK_CLASS_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_WORK_CLASS_H_

#include <cstdint>
#include <string_view>

#include "Core/hash.h"

namespace lacewingbridge {

// Returns the class of work of a route. Requests of one route need similar work; two routes to one
// service may differ by an order of magnitude, whatever their priorities are.
inline std::uint32_t ComputeWorkClass(std::string_view route_name) {
  return static_cast<std::uint32_t>(HashBytes(route_name));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_WORK_CLASS_H_
