#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// Whether a route uses the Idempotency-Key of its requests.
enum class ClaimKeyRule { kNone, kOptional, kRequired };

// Properties of a request and its route that decide whether a claim is needed.
struct ClaimFacts {
  bool idempotent = false;
  ClaimKeyRule key_rule = ClaimKeyRule::kNone;
  // Empty when the request carries no key.
  std::string_view key;
  // Hash of the request. Another request with the same key is refused as key reused.
  std::uint64_t request_hash = 0;
  // Empty on public routes and without workspaces. A key that another workspace has used is refused
  // as key reused.
  std::string_view workspace;
};

// Identifies the daemon that makes the attempt, and the attempt itself.
struct ClaimCaller {
  std::string_view host;
  std::uint64_t incarnation = 0;
  // Unique in the fleet and never 0. Each request that a caller sends gets a new id.
  std::uint64_t attempt_id = 0;
};

// What the caller of ClaimGate has to do next.
enum class ClaimGateAction {
  // Send ClaimGateStep::ask to the host that owns the key in the request's epoch, then call
  // HandleReply.
  kAskOwner,
  // Obtain an owner map of at least the reply's epoch, then call AskAgain.
  kRefreshMap,
  // Send the request to a target, then call HandleResult once.
  kRunNow,
  // Send the stored response. If answer_kept is false, only the status code is known.
  kSendStoredResponse,
  // Refuse the request as not run.
  kRefuseNotRun,
  // Refuse the request as outcome unknown.
  kRefuseUnknown,
  // The key was used for another request or by another workspace; this one was not run.
  kRefuseKeyReused,
  // The key's time is ahead of its owner's clock; the request was not run.
  kRefuseKeyAhead,
  // The route requires a key; the request was not run.
  kRefuseKeyMissing,
  // Forward the target's response.
  kForwardResponse,
};

enum class ClaimAttemptOutcome {
  // A complete response was received.
  kAnswered,
  // The request certainly did not run: no target received it, or the target refused it as
  // not run.
  kNotRun,
  // The request was sent and no complete response was received.
  kLost,
};

// Result of an attempt. The views only have to be valid during the call of HandleResult.
struct ClaimAttemptResult {
  ClaimAttemptOutcome outcome = ClaimAttemptOutcome::kLost;
  std::uint32_t status_code = 0;
  std::string_view answer;
  std::string_view content_type;
};

// An action and the data that it needs.
struct ClaimGateStep {
  ClaimGateAction action = ClaimGateAction::kRefuseNotRun;
  // Set with kAskOwner.
  std::optional<ClaimRequest> ask;
  // Set with kSendStoredResponse.
  std::optional<ClaimRecord> stored;
  // Report to send to the key's owner, with any action. It may be sent after the response to
  // the caller, and is retried for a few seconds until an owner has recorded it.
  std::optional<ClaimDoneRequest> report;
};

// State machine for the caller side of one attempt, in the daemon that proxies the request.
// It decides whether the request may be sent to a target. It does no input or output and has
// no lock: its user carries out the steps that it returns.
//
// Guarantees, within the retention and for requests with a key on a route that is not
// idempotent:
// - The gate returns kRunNow at most once for an attempt, and only after the owner granted
//   the key to this attempt within the time limit. A grant that arrives later, or after
//   any other reply, never runs.
// - "Not run" applies only to the attempt that it refuses: this attempt did not and will not
//   run. It does not apply to an earlier attempt whose outcome was unknown. Resending the
//   request with the same key is always safe.
// - If there is no reply to the claim call, the owner may have granted the key. The attempt
//   is refused as not run, which is correct because it never runs, and the report makes the
//   owner release the key. Until the owner receives the report, a resend finds the running
//   claim and is refused as outcome unknown. If the report is lost, this lasts for the
//   retention. If the report arrives before the claim call, the owner refuses that call. No
//   order of these messages lets the key run twice, because an owner releases a running key
//   only on the report of the attempt that holds the grant.
// - If the result of the attempt is lost, the attempt ends as outcome unknown and the key
//   stays taken.
//
// Requests without a key run without protection against a resend by the caller. Idempotent
// requests need no protection and skip the claim.
class ClaimGate {
 public:
  ClaimGate(const ClaimFacts& facts, const ClaimCaller& caller);

  // Returns the first step. time_limit bounds the time until the request is sent to a target
  // and is at most ClaimLimits::grant_delivery. owner_map_epoch is 0 when no map is held.
  ClaimGateStep Begin(TimePoint now, std::uint64_t owner_map_epoch, Duration time_limit);
  // Call after kRefreshMap, with the epoch of the map that is now held.
  ClaimGateStep AskAgain(TimePoint now, std::uint64_t owner_map_epoch);
  // Call with the owner's reply, or with nothing when the claim call failed or timed out.
  // Until then the claim call of the attempt may be retried.
  ClaimGateStep HandleReply(TimePoint now, const std::optional<ClaimReply>& reply);
  // Call when the caller disconnected or its deadline passed before the request was sent.
  ClaimGateStep Abandon();
  // Call with the result of the attempt after kRunNow.
  ClaimGateStep HandleResult(const ClaimAttemptResult& result);

  // Whether the request may still be sent to a target after kRunNow. If not, call Abandon.
  // A request that waits for a slot should make its claim call after the wait, since the
  // time limit starts with Begin.
  bool IsStartAllowed(TimePoint now) const;

 private:
  enum class Phase { kNew, kAsking, kRefreshing, kRunning, kClosed };

  ClaimGateStep Ask(std::uint64_t owner_map_epoch);
  ClaimGateStep Close(ClaimGateAction action);
  ClaimGateStep CloseAndReport(ClaimGateAction action, ClaimOutcome outcome);
  ClaimGateStep HandleRefusal(const ClaimReply& reply);

  ClaimRequest request;
  bool needs_claim = false;
  bool key_missing = false;
  Phase phase = Phase::kNew;
  TimePoint deadline;
  int claim_call_count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_
