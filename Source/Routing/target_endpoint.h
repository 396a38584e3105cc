#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// A target of one service as it was announced.
struct TargetEndpoint {
  std::string address;
  std::string host;
  std::string data_centre;
  std::string region;
  std::uint32_t slots = 1;
  bool draining = false;
  std::uint32_t reported_load_permille = 0;

  bool operator==(const TargetEndpoint&) const = default;
};

// How an attempt at a target ended.
enum class TargetOutcome {
  kOk,
  kFailed,             // a complete answer that reports a failure; the request ran
  kShed,               // the target states that it did not run the request
  kConnectionRefused,  // no connection; the request did not run
  kLostMidRequest,     // the connection ended before the answer; it may have run
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_
