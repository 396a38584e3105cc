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

class HttpConnectionPool;

// Header names of the proxy.
inline constexpr char kOutcomeHeader[] = "Lacewing-Outcome";
inline constexpr char kDeadlineHeader[] = "Lacewing-Deadline-Ms";
inline constexpr char kDepthHeader[] = "Lacewing-Depth";
inline constexpr char kDoNotRetryHeader[] = "Lacewing-Do-Not-Retry";
inline constexpr char kKeyHeader[] = "Idempotency-Key";
inline constexpr char kNotRunWord[] = "not-run";
inline constexpr char kUnknownWord[] = "unknown";

// A complete answer of a target.
struct TargetAnswer {
  int status = 0;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
};

// End of one attempt at a target.
struct TargetAttempt {
  TargetOutcome outcome = TargetOutcome::kLostMidRequest;
  TargetAnswer answer;
  bool marked_do_not_retry = false;
  // The target was silent until the time limit; its connection was not lost.
  bool timed_out = false;
  Duration latency{0};
};

// Keeps the HTTP library from decoding the body of a caller's request: it would empty a
// multipart body, refuse a long form and unpack a compressed one, although the target is
// the one to read it. Called before the body is read; SendToTarget restores the headers.
void ProtectBody(httplib::Request& request);

// Sends one request to one target and returns its whole answer. An answer whose length is
// not given counts as lost: its end cannot be told from a crash of the target.
TargetAttempt SendToTarget(HttpConnectionPool& pool, const std::string& address,
                           const httplib::Request& request, Duration time_limit, unsigned depth);

// Copies the target's answer to the caller, without headers that belong to a connection.
void CopyAnswer(const httplib::Request& request, TargetAnswer answer, httplib::Response& response);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_EXCHANGE_H_
