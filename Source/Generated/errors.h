// Generated from Source/Schema/errors.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

enum class ErrorKind {
  kNone = 0,
  kInvalidArgument = 1,
  kMalformedMessage = 2,
  kSettingsInvalid = 3,
  kRulesInvalid = 4,
  kSubmitConflict = 5,
  kStoreUnavailable = 6,
  kSubmitUnknown = 7,
  kPeerUnreachable = 8,
  kDigestMismatch = 9,
  kListenFailed = 10,
  kFileUnreadable = 11,
  kTimeout = 12,
  kNotReady = 13,
  kNotFound = 14,
  kLimitExceeded = 15,
  kStoreHistoryGone = 16,
  kLeaseEnded = 17,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(ErrorKind value) {
  switch (value) {
    case ErrorKind::kNone:
      return "none";
    case ErrorKind::kInvalidArgument:
      return "invalid_argument";
    case ErrorKind::kMalformedMessage:
      return "malformed_message";
    case ErrorKind::kSettingsInvalid:
      return "settings_invalid";
    case ErrorKind::kRulesInvalid:
      return "rules_invalid";
    case ErrorKind::kSubmitConflict:
      return "submit_conflict";
    case ErrorKind::kStoreUnavailable:
      return "store_unavailable";
    case ErrorKind::kSubmitUnknown:
      return "submit_unknown";
    case ErrorKind::kPeerUnreachable:
      return "peer_unreachable";
    case ErrorKind::kDigestMismatch:
      return "digest_mismatch";
    case ErrorKind::kListenFailed:
      return "listen_failed";
    case ErrorKind::kFileUnreadable:
      return "file_unreadable";
    case ErrorKind::kTimeout:
      return "timeout";
    case ErrorKind::kNotReady:
      return "not_ready";
    case ErrorKind::kNotFound:
      return "not_found";
    case ErrorKind::kLimitExceeded:
      return "limit_exceeded";
    case ErrorKind::kStoreHistoryGone:
      return "store_history_gone";
    case ErrorKind::kLeaseEnded:
      return "lease_ended";
  }
  return "invalid";
}

struct ErrorKindDescription {
  ErrorKind kind;
  std::string_view summary;
  std::string_view remedy;
};

inline constexpr std::array<ErrorKindDescription, 18> kErrorKindCatalogue = {{
    {ErrorKind::kNone,
     "no error",
     "nothing to do"},
    {ErrorKind::kInvalidArgument,
     "an argument is not valid",
     "correct the argument named in the message"},
    {ErrorKind::kMalformedMessage,
     "a message could not be decoded",
     "check that both processes run compatible releases"},
    {ErrorKind::kSettingsInvalid,
     "the settings file is not valid",
     "correct the keys named in the message and start again; --check validates without starting"},
    {ErrorKind::kRulesInvalid,
     "the rules file is not valid; nothing was applied",
     "correct the lines named in the message and submit again"},
    {ErrorKind::kSubmitConflict,
     "another version was accepted since the base version; nothing was changed",
     "merge your edit with the version in force and submit it with the new base"},
    {ErrorKind::kStoreUnavailable,
     "the platform's key-value store did not answer",
     "submit again once the store answers; the proxies go on serving the rules they hold"},
    {ErrorKind::kSubmitUnknown,
     "the store has not yet told whether the submission took effect",
     "run the same command again with the same --submission-id; it reports the outcome and never submits twice"},
    {ErrorKind::kPeerUnreachable,
     "a daemon could not be reached",
     "check that the daemon runs and that its control address is right"},
    {ErrorKind::kDigestMismatch,
     "a rules text does not match its digest; it was not applied",
     "nothing to do; the text is fetched again from another daemon"},
    {ErrorKind::kListenFailed,
     "a listening address could not be opened",
     "choose a free address and port in the settings or end the process that holds it"},
    {ErrorKind::kFileUnreadable,
     "a file could not be read",
     "check the path and its permissions"},
    {ErrorKind::kTimeout,
     "the time limit passed",
     "run the command again with a longer --timeout, or see status for the lagging data centres"},
    {ErrorKind::kNotReady,
     "the daemon holds no rules yet",
     "submit a rules file, or wait until the daemon has heard from the store or its peers"},
    {ErrorKind::kNotFound,
     "nothing matches",
     "check the name or path in the message"},
    {ErrorKind::kLimitExceeded,
     "a size or count limit was exceeded",
     "reduce the input below the limit in the message"},
    {ErrorKind::kStoreHistoryGone,
     "the store no longer has the history after the known revision",
     "read the keys anew and continue from the revision of that answer"},
    {ErrorKind::kLeaseEnded,
     "the lease has ended",
     "request a new lease and write the record again"},
}};

}  // namespace lacewingbridge
