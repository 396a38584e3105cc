#ifndef LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// Content of the headers of a caller's request.
struct CallerHeaders {
  std::string request_id;
  // Time until the deadline of the caller.
  std::optional<Duration> time_left;
  // Must not be logged or forwarded. Empty if the request has no key, or not exactly one.
  std::string api_key;
};

// Headers by which callers present API keys and targets learn the workspace. With workspaces in the
// version in force, what a caller wrote into them ends at the daemons.
struct AccessHeaders {
  std::string_view key;
  std::string_view workspace;
  // Value of WWW-Authenticate when a request is denied because of its key.
  std::string_view challenge;
};

// Content of the headers that are sent to a target.
struct TargetHeaders {
  Duration time_left{0};
  // Only the target with this id may run the request. Empty if any target may.
  std::string target_id;
  std::string caller_service;
  // Workspace of the caller; empty on public routes and without workspaces.
  std::string workspace;
};

// Requests that a target runs and queues, and the number that it can run at once.
struct TargetLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  // Time that work takes on the target's machine at this moment, in percent of the usual time;
  // empty if the target does not state it.
  std::optional<std::uint32_t> work_percent;
};

// Content of the headers of a target's response.
struct TargetResponseHeaders {
  std::string request_id;
  std::string target_id;
  std::optional<TargetLoad> load;
  // The response has a signature that proves that the target produced it.
  bool has_signature = false;
  // The target states that it has not run the request.
  bool not_run = false;
  // The body differs from the one that the target produced.
  bool is_encoded = false;
};

// Reads and writes the headers that callers and targets use.
template <typename Wire>
concept ProxyWire = requires(const http::fields& read, http::fields& written,
                             const TargetHeaders& headers) {
  { Wire::GetAccessHeaders() } -> std::same_as<AccessHeaders>;
  { Wire::ReadCallerHeaders(read) } -> std::same_as<CallerHeaders>;
  { Wire::ReadResponseHeaders(read) } -> std::same_as<TargetResponseHeaders>;
  Wire::WriteTargetHeaders(written, headers);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_PROXY_WIRE_H_
