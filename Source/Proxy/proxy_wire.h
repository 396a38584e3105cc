#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// What a caller's headers say.
struct CallerHead {
  std::string request_id;
  // How long the caller waits.
  std::optional<Duration> time_left;
};

// What a target is told in headers.
struct TargetHead {
  Duration time_left{0};
  // Another target than this one does not run the request. Empty for any.
  std::string target_id;
  std::string caller_service;
};

struct TargetLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

// What the headers of a target's answer say.
struct TargetAnswerHead {
  std::string request_id;
  std::string target_id;
  std::optional<TargetLoad> load;
  // The answer proves that the target produced it.
  bool has_signature = false;
  // The target states that it has not run the request.
  bool not_run = false;
  // The body is not the one that the target produced.
  bool is_encoded = false;
};

// Names of headers that callers and targets use.
template <typename Wire>
concept ProxyWire = requires(const http::fields& read, http::fields& written,
                             const TargetHead& head) {
  { Wire::ReadCallerHead(read) } -> std::same_as<CallerHead>;
  { Wire::ReadAnswerHead(read) } -> std::same_as<TargetAnswerHead>;
  Wire::WriteTargetHead(written, head);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_
