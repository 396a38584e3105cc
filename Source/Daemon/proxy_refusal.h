#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_

#include <string_view>

namespace httplib {
struct Response;
}  // namespace httplib

namespace lacewingbridge {

// Reason why the daemon responds with a refusal of its own instead of a response of a target.
enum class RefusalKind {
  kMalformedHead,
  kNotReady,
  kAmbiguousPath,
  kNoRoute,
  kNoApiKey,
  kUnknownApiKey,
  kNewerVersionPossible,
  kApiKeyChanged,
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
  kDoneResponseNotStored,
};

// Writes the status, the headers that belong to it, the Lacewing-Outcome header, and a text that
// names the remedy. The particulars, such as the name of a route, are appended to the text.
void WriteRefusal(RefusalKind kind, std::string_view particulars, httplib::Response& response);

// Returns the short name of the refusal for metrics, such as "queue_full".
std::string_view GetRefusalName(RefusalKind kind);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PROXY_REFUSAL_H_
