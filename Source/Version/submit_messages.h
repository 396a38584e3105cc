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

// What an operator submits.
struct SubmitRequest {
  // Unique; a resumed submission repeats it.
  std::string submission_id;
  std::string operator_name;
  // Version that the operator edited. With an empty digest only its number counts.
  VersionStamp base;
  std::string text;
  std::uint64_t accepted_unix_ms = 0;
  // Edit script from the base to the text, and its size in the front end's encoding.
  std::optional<RulesDeltaScript> delta;
  std::size_t delta_encoded_bytes = 0;
  // Set when an earlier process may have submitted this id. The earlier outcome is
  // then reported, and nothing is called refused that may have been accepted.
  bool resumed = false;
};

// The head of the store as the front end decoded it. Without a head, the revision is
// what the store reports for the absent key.
struct StoredHead {
  std::optional<RulesHead> head;
  std::uint64_t revision = 0;
};

// Inputs of SubmitProcess. Every store call ends in exactly one of them: once a call is
// reported as failed, a late reply to it is dropped.
struct SubmitStarted {};
struct SubmitHeadRead {
  StoredHead stored;
};
// The body key exists now; a body that already existed counts as written, because its
// key is its digest.
struct SubmitBodyWritten {};
struct SubmitSwapReplied {
  bool succeeded = false;
  // The entry after the call, as in StoreSwapReply.
  StoredHead stored;
};
// The call failed or timed out.
struct SubmitCallFailed {
  // False only if the request surely never reached the store, for example because the
  // connection was refused.
  bool may_have_taken_effect = true;
};
struct SubmitTimePassed {};

using SubmitEvent = std::variant<SubmitStarted, SubmitHeadRead, SubmitBodyWritten,
                                 SubmitSwapReplied, SubmitCallFailed, SubmitTimePassed>;

// Final outcomes.
struct SubmitAccepted {
  // The digest is empty when the acceptance is known only from a submission record.
  VersionStamp stamp;
};
// Surely not accepted; the winner is the head that prevented it.
struct SubmitConflict {
  std::optional<RulesHead> winner;
};
// Surely not accepted: no swap of the head can have reached the store.
struct SubmitStoreUnavailable {};
// May have been accepted; the same submission can be resumed to find out.
struct SubmitOutcomeUnknown {};

using SubmitOutcome =
    std::variant<SubmitAccepted, SubmitConflict, SubmitStoreUnavailable, SubmitOutcomeUnknown>;

// Actions of SubmitProcess. The front end performs the call and hands back its result.
struct SubmitReadHead {};
// Create the body key with the text of the request, if it does not exist.
struct SubmitWriteBody {
  std::string digest;
};
struct SubmitSwapHead {
  RulesHead head;
  std::uint64_t expected_revision = 0;
};
// Start no call. Hand in SubmitTimePassed at that time if no other input came first.
struct SubmitWaitUntil {
  TimePoint time;
};
struct SubmitFinished {
  SubmitOutcome outcome;
};

using SubmitAction =
    std::variant<SubmitReadHead, SubmitWriteBody, SubmitSwapHead, SubmitWaitUntil, SubmitFinished>;

// kNone for an accepted submission.
ErrorKind GetErrorKind(const SubmitOutcome& outcome);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_MESSAGES_H_
