#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_EXCHANGE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_EXCHANGE_H_

#include <string>
#include <utility>
#include <vector>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace lacewingbridge {

class TargetConnections;
struct RequestAccess;

// Names of the headers that callers, daemons and targets exchange.
inline constexpr char kOutcomeHeader[] = "Lacewing-Outcome";
inline constexpr char kDeadlineHeader[] = "Lacewing-Deadline-Ms";
inline constexpr char kDepthHeader[] = "Lacewing-Depth";
inline constexpr char kDoNotRetryHeader[] = "Lacewing-Do-Not-Retry";
// Random id of one attempt. The connection is reused for further requests only if the target
// echoes the id in its response.
inline constexpr char kAttemptHeader[] = "Lacewing-Attempt-Id";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
// Values of Lacewing-Outcome: the request was not run, or it may have run.
inline constexpr char kNotRunOutcome[] = "not-run";
inline constexpr char kUnknownOutcome[] = "unknown";

// A complete response of a target.
struct TargetResponse {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// Result of one attempt to send a request to a target.
struct TargetAttempt {
  TargetOutcome outcome = TargetOutcome::kLostMidRequest;
  TargetResponse response;
  bool marked_do_not_retry = false;
  // The time limit passed before the response was complete. False if the connection was lost
  // before the time limit.
  bool timed_out = false;
  Duration latency{0};
};

// Stores the Content-Type and Content-Encoding headers of a caller's request under other names,
// so that the HTTP library does not decode the body, which only the target is meant to read.
// The library would empty a multipart body, refuse a long form and decompress a compressed
// body. Must be called before the body is read. SendToTarget restores the headers.
void HideBodyHeaders(httplib::Request& request);

// Maximum length of a response body in bytes. The whole body is held in memory. The attempt
// counts as lost if the body is longer, or if the headers take more than 64 KB.
inline constexpr std::size_t kMaxResponseBytes = std::size_t{64} << 20;

// Sends one request to one target and returns the complete response, within the time limit.
// Blocks the calling thread. `depth` is the level of the call chain, which the target receives
// in Lacewing-Depth. With workspaces, the target receives the workspace of `access` in place of
// the caller's API key. A response counts as lost in two further cases:
// - It states no length, so that its end cannot be told from a crash of the target.
// - It has the id of another attempt, or no id on a connection that has carried other
//   requests: a faulty target may have written it for an earlier request.
TargetAttempt SendToTarget(TargetConnections& connections, const std::string& address,
                           const httplib::Request& request, Duration time_limit, unsigned depth,
                           const RequestAccess& access);

// Copies the target's response to the response for the caller, without the headers that belong
// to a connection.
void CopyResponse(const httplib::Request& request, TargetResponse target_response,
                  httplib::Response& response);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_EXCHANGE_H_
