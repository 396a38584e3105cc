#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// A target of one service, as it announced itself.
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

// How an attempt to run a request at a target ended.
enum class TargetOutcome {
  kOk,
  kFailed,             // the complete response reports a failure; the request ran
  kShed,               // the target reports that it did not run the request
  kConnectionRefused,  // there was no connection; the request did not run
  kLostMidRequest,     // the connection ended before the response; the request may have run
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_ENDPOINT_H_
