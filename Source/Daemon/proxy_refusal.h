#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_

#include <string_view>

namespace httplib {
struct Response;
}  // namespace httplib

namespace lacewingbridge {

// Why a daemon refuses a request itself.
enum class RefusalKind {
  kNotReady,
  kAmbiguousPath,
  kNoRoute,
  kTooDeep,
  kRateLimited,
  kQueueFull,
  kDeadline,
  kNoTarget,
  kQuarantined,
  kKeyMissing,
  kKeyReused,
  kKeyAhead,
  kClaimNotRun,
  kNotRun,
  kUnknown,
  kDoneAnswerNotKept,
};

// Writes the refusal: status, Lacewing-Outcome, and a text that says what to do.
void WriteRefusal(RefusalKind kind, std::string_view particulars, httplib::Response& response);

// Word for metrics.
std::string_view GetRefusalName(RefusalKind kind);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_
