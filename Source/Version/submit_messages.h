#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_MESSAGES_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "Core/error.h"
#include "Core/time_point.h"
#include "rules.h"

namespace lacewingbridge {

// A rules text that an operator submits as the next version.
struct SubmitRequest {
  // Unique for each submission. A resumed submission uses the same id again.
  std::string submission_id;
  std::string operator_name;
  // The version that the operator edited. If its digest is empty, only the number is compared.
  VersionStamp base;
  std::string text;
  std::uint64_t accepted_unix_ms = 0;
  // The edit script that turns the base into the text, and its size in bytes as the caller encodes
  // it.
  std::optional<RulesDeltaScript> delta;
  std::size_t delta_encoded_bytes = 0;
  // Set when an earlier process may have submitted this id already. The process then reports the
  // outcome of the earlier submission. It reports a refusal only if the submission was certainly
  // not accepted.
  bool resumed = false;
};

// The head entry of the store, decoded by the caller: the newest accepted version. If the key is
// absent, `head` is empty and the revision is the one that the store reports for an absent key.
struct StoredHead {
  std::optional<RulesHead> head;
  std::uint64_t revision = 0;
};

// Inputs of SubmitProcess. The caller reports the end of each store call by exactly one of them.
// Once it has reported a call as failed, it drops a late reply to that call.
struct SubmitStarted {};
struct SubmitHeadRead {
  StoredHead stored;
};
// The body key exists. A body that existed before counts as written, because the key contains the
// digest of the text.
struct SubmitBodyWritten {};
struct SubmitSwapReplied {
  bool succeeded = false;
  // The head entry after the call, as in StoreSwapReply.
  StoredHead stored;
};
// The call failed or timed out.
struct SubmitCallFailed {
  // False only if the request certainly did not reach the store, for example because the
  // connection was refused.
  bool may_have_taken_effect = true;
};
struct SubmitTimePassed {};

using SubmitEvent = std::variant<SubmitStarted, SubmitHeadRead, SubmitBodyWritten,
                                 SubmitSwapReplied, SubmitCallFailed, SubmitTimePassed>;

// Final outcomes of a submission.
struct SubmitAccepted {
  // The digest is empty if only a submission record shows that the version was accepted, because
  // records hold no digest.
  VersionStamp stamp;
};
// Certainly not accepted, because the store holds another head than the base. The winner is that
// head, if there is one.
struct SubmitConflict {
  std::optional<RulesHead> winner;
};
// Certainly not accepted: no swap of the head can have reached the store.
struct SubmitStoreUnavailable {};
// The submission may have been accepted. Resuming it with the same id finds the outcome.
struct SubmitOutcomeUnknown {};

using SubmitOutcome =
    std::variant<SubmitAccepted, SubmitConflict, SubmitStoreUnavailable, SubmitOutcomeUnknown>;

// Actions of SubmitProcess. The caller performs the store call and passes its result to
// SubmitProcess::Handle.
struct SubmitReadHead {};
// Create the body key with the text of the request if the key does not exist.
struct SubmitWriteBody {
  std::string digest;
};
// Replace the head if the key still has the expected revision.
struct SubmitSwapHead {
  RulesHead head;
  std::uint64_t expected_revision = 0;
};
// Make no call. Pass SubmitTimePassed at this time unless another input comes first.
struct SubmitWaitUntil {
  TimePoint time;
};
struct SubmitFinished {
  SubmitOutcome outcome;
};

using SubmitAction =
    std::variant<SubmitReadHead, SubmitWriteBody, SubmitSwapHead, SubmitWaitUntil, SubmitFinished>;

// Returns the error kind that reports the outcome; kNone for an accepted submission.
ErrorKind GetErrorKind(const SubmitOutcome& outcome);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_MESSAGES_H_
