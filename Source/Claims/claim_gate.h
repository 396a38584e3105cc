#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

enum class ClaimKeyRule { kNone, kOptional, kRequired };

// What the gate needs to know of a request and its route.
struct ClaimFacts {
  bool idempotent = false;
  ClaimKeyRule key_rule = ClaimKeyRule::kNone;
  // Empty when the request carries no key.
  std::string_view key;
  std::uint64_t request_hash = 0;
};

// The daemon that makes the attempt.
struct ClaimCaller {
  std::string_view host;
  std::uint64_t incarnation = 0;
  // Unique in the fleet, never 0; new for each request that a caller sends.
  std::uint64_t attempt_id = 0;
};

enum class ClaimGateAction {
  // Send the claim request to the key's owner of that epoch, then call HandleReply.
  kAskOwner,
  // Obtain the map of at least the reply's epoch, then call AskAgain.
  kRefreshMap,
  // Send the request to a target, then call HandleResult once.
  kRunNow,
  // Answer with the stored outcome. Without answer_kept only the status is known.
  kAnswerStored,
  kRefuseNotRun,
  kRefuseUnknown,
  // The key was used for another request; this one was not run.
  kRefuseKeyReused,
  // The key's time is ahead of its owner's clock; the request was not run.
  kRefuseKeyAhead,
  // The route requires a key; the request was not run.
  kRefuseKeyMissing,
  // Pass the target's answer on.
  kAnswerResult,
};

enum class ClaimAttemptOutcome {
  // A complete answer arrived.
  kAnswered,
  // The request surely did not run: no target received it or one refused it as not run.
  kNotRun,
  // The request was sent and no complete answer came.
  kLost,
};

// Result of the attempt; the views are valid during the call.
struct ClaimAttemptResult {
  ClaimAttemptOutcome outcome = ClaimAttemptOutcome::kLost;
  std::uint32_t status_code = 0;
  std::string_view answer;
  std::string_view content_type;
};

struct ClaimGateStep {
  ClaimGateAction action = ClaimGateAction::kRefuseNotRun;
  // With kAskOwner.
  std::optional<ClaimRequest> ask;
  // With kAnswerStored.
  std::optional<ClaimRecord> stored;
  // Report to the key's owner. It may be sent after the caller was answered, and is
  // repeated for a few seconds until an owner has recorded it.
  std::optional<ClaimDoneRequest> report;
};

// Caller side of one attempt, in the proxying daemon.
//
// Promise, within the retention and for requests with a key on a route that is not
// idempotent:
// - The gate says kRunNow at most once for an attempt, and only after the owner granted
//   the key to this attempt within the time limit. A grant that comes later, or after
//   any other answer, never runs.
// - "Not run" speaks of the attempt that it answers: this attempt did not and will not
//   run. It says nothing of an earlier attempt whose outcome was unknown. Sending the
//   request again with the same key is always safe.
// - Without an answer to the claim call the owner may have granted the key. The attempt
//   is refused as not run, which is true as it never runs, and the report tells the owner
//   to free the key. Until the owner has the report, a resend meets the running claim and
//   is refused as outcome unknown; if the report is lost this lasts for the retention. A
//   report that overtakes the claim call makes the owner refuse that call. No order of
//   these messages lets the key run twice, since an owner frees a running key only on the
//   report of the attempt that it was granted to.
// - A result that was lost ends as outcome unknown. The key stays taken.
//
// Requests without a key run without protection against a second send by the caller;
// idempotent requests need none and skip the claim.
class ClaimGate {
 public:
  ClaimGate(const ClaimFacts& facts, const ClaimCaller& caller);

  // First step. time_limit is at most ClaimLimits::grant_delivery.
  ClaimGateStep Begin(TimePoint now, std::uint64_t owner_map_epoch, Duration time_limit);
  // After kRefreshMap.
  ClaimGateStep AskAgain(TimePoint now, std::uint64_t owner_map_epoch);
  // The owner's answer, or nothing when the claim call failed or timed out. Repeated
  // claim calls of the attempt are allowed until then.
  ClaimGateStep HandleReply(TimePoint now, const std::optional<ClaimReply>& reply);
  // The caller went away or its deadline passed before the request was sent.
  ClaimGateStep Abandon();
  ClaimGateStep HandleResult(const ClaimAttemptResult& result);

  // Whether the request may still be sent to a target after kRunNow; otherwise Abandon.
  // A request that waits for a slot should ask for its claim after the wait.
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
  int ask_count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_GATE_H_
