#include "Daemon/proxy_refusal.h"

#include <fmt/core.h>
#include <httplib.h>

#include <array>
#include <string>

#include "Daemon/proxy_exchange.h"

namespace lacewingbridge {

namespace {

struct RefusalDescription {
  RefusalKind kind;
  std::string_view name;
  int status;
  // False when the request may have run.
  bool not_run;
  std::string_view text;
};

constexpr std::array<RefusalDescription, 21> kRefusals = {{
    {RefusalKind::kMalformedHead, "malformed_head", 400, true,
     "the request target holds a blank or a control character, the name of a header is not a "
     "token, or its value holds a control character, plain or percent-encoded; correct the "
     "request"},
    {RefusalKind::kNotReady, "not_ready", 503, true,
     "this daemon holds no rules yet; send the request again shortly"},
    {RefusalKind::kAmbiguousPath, "ambiguous_path", 400, true,
     "the path holds dot segments, empty segments, a backslash, an encoded separator or an "
     "encoding that is not valid; send it in its plain form"},
    {RefusalKind::kNoRoute, "no_route", 404, true,
     "no route matches; check method and path, or add a route to the rules file"},
    {RefusalKind::kNoApiKey, "no_key", 401, true,
     "the route needs an API key; send exactly one Authorization header of the scheme Bearer"},
    {RefusalKind::kUnknownApiKey, "unknown_key", 401, true,
     "no workspace has the API key; check the key, or have its digest added to the rules file"},
    {RefusalKind::kNewerVersionPossible, "newer_version_possible", 503, true,
     "this daemon does not know the API key, but may not hold the newest rules; send the request "
     "again shortly"},
    {RefusalKind::kApiKeyChanged, "key_changed", 503, true,
     "the rules of the API key changed while the request waited; send the request again"},
    {RefusalKind::kTooDeep, "too_deep", 508, true,
     "the call chain is too deep; check the routes for a loop"},
    {RefusalKind::kRateLimited, "rate_limited", 429, true,
     "a limit rule was reached; send the request again later"},
    {RefusalKind::kQueueFull, "queue_full", 503, true,
     "the service is overloaded; send the request again later"},
    {RefusalKind::kDeadline, "deadline", 503, true,
     "the deadline could not be met; send the request again with a longer one"},
    {RefusalKind::kNoTarget, "no_target", 503, true,
     "no target of the service can take the request; send it again shortly"},
    {RefusalKind::kQuarantined, "quarantined", 503, true,
     "the request crashed its targets; do not send it again before the service was corrected"},
    {RefusalKind::kKeyMissing, "key_missing", 400, true,
     "the route requires an Idempotency-Key; add one that is unique to the request"},
    {RefusalKind::kKeyReused, "key_reused", 422, true,
     "the Idempotency-Key was used for another request or by another workspace; use a new one "
     "only for a new request"},
    {RefusalKind::kKeyAhead, "key_ahead", 503, true,
     "the time in the Idempotency-Key is in the future, so the caller's clock is ahead; correct "
     "the clock, or send the request again with the same key once that time has come"},
    {RefusalKind::kClaimNotRun, "claim_not_run", 503, true,
     "the owner of the Idempotency-Key could not be asked; send the request again with the "
     "same key"},
    {RefusalKind::kNotRun, "not_run", 503, true, "the request was not run; it can be sent again"},
    {RefusalKind::kUnknown, "unknown", 504, false,
     "the request may have run; send it again only with the same Idempotency-Key, or check "
     "its effect first"},
    {RefusalKind::kDoneResponseNotStored, "answer_not_kept", 409, false,
     "the request with this Idempotency-Key has run; its answer was too long to be kept"},
}};

constexpr int kUnauthorized = 401;
// Seconds, for refusals because of a version that is not the newest one.
constexpr char kVersionRetryAfter[] = "1";

// Whether another daemon, or this one a moment later, may serve the request.
bool MaySoonBeServed(RefusalKind kind) {
  return kind == RefusalKind::kNotReady || kind == RefusalKind::kNoTarget ||
         kind == RefusalKind::kNewerVersionPossible;
}

const RefusalDescription& FindDescription(RefusalKind kind) {
  for (const RefusalDescription& description : kRefusals) {
    if (description.kind == kind) {
      return description;
    }
  }
  return kRefusals[0];
}

}  // namespace

void WriteRefusal(RefusalKind kind, std::string_view particulars, httplib::Response& response) {
  const RefusalDescription& description = FindDescription(kind);
  response.status = description.status;
  response.set_header(kOutcomeHeader, description.not_run ? kNotRunOutcome : kUnknownOutcome);
  // Daemons further up the call chain do not retry a request that this level has decided on.
  if (!MaySoonBeServed(kind)) {
    response.set_header(kDoNotRetryHeader, "1");
  }
  if (description.status == kUnauthorized) {
    response.set_header("WWW-Authenticate", "Bearer");
  }
  if (kind == RefusalKind::kNewerVersionPossible || kind == RefusalKind::kApiKeyChanged) {
    response.set_header("Retry-After", kVersionRetryAfter);
  }
  response.set_content(
      fmt::format("{}{}{}\n", description.text, particulars.empty() ? "" : ": ", particulars),
      "text/plain");
}

std::string_view GetRefusalName(RefusalKind kind) { return FindDescription(kind).name; }

}  // namespace lacewingbridge
