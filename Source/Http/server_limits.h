#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SERVER_LIMITS_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SERVER_LIMITS_H_

#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// What a client of a listener may send and how long it may take.
struct ServerLimits {
  std::uint32_t max_header_bytes = 64 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;
  // From the first byte of a request to the end of its head.
  Duration header_timeout = std::chrono::seconds(10);
  // Without any byte between requests, or of a request.
  Duration idle_timeout = std::chrono::seconds(60);
  // Without any byte of a response that the other side takes.
  Duration write_timeout = std::chrono::seconds(60);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SERVER_LIMITS_H_
