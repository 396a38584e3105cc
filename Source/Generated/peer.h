// Generated from Source/Schema/peer.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership.h"
#include "rules.h"

namespace lacewingbridge {

enum class ClaimState {
  kUnknown = 0,
  kRunning = 1,
  kDone = 2,
  kOutcomeUnknown = 3,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(ClaimState value) {
  switch (value) {
    case ClaimState::kUnknown:
      return "unknown";
    case ClaimState::kRunning:
      return "running";
    case ClaimState::kDone:
      return "done";
    case ClaimState::kOutcomeUnknown:
      return "outcome_unknown";
  }
  return "invalid";
}

enum class ClaimDecision {
  kUnknown = 0,
  kGranted = 1,
  kAlreadyDone = 2,
  kOutcomeUnknown = 3,
  kNotRun = 4,
  kKeyReused = 5,
  kKeyAhead = 6,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(ClaimDecision value) {
  switch (value) {
    case ClaimDecision::kUnknown:
      return "unknown";
    case ClaimDecision::kGranted:
      return "granted";
    case ClaimDecision::kAlreadyDone:
      return "already_done";
    case ClaimDecision::kOutcomeUnknown:
      return "outcome_unknown";
    case ClaimDecision::kNotRun:
      return "not_run";
    case ClaimDecision::kKeyReused:
      return "key_reused";
    case ClaimDecision::kKeyAhead:
      return "key_ahead";
  }
  return "invalid";
}

enum class ClaimOutcome {
  kUnknown = 0,
  kDone = 1,
  kNotRun = 2,
  kLost = 3,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(ClaimOutcome value) {
  switch (value) {
    case ClaimOutcome::kUnknown:
      return "unknown";
    case ClaimOutcome::kDone:
      return "done";
    case ClaimOutcome::kNotRun:
      return "not_run";
    case ClaimOutcome::kLost:
      return "lost";
  }
  return "invalid";
}

struct FetchRulesRequest {
  VersionStamp have;

  bool operator==(const FetchRulesRequest&) const = default;
};

struct FetchRulesReply {
  VersionStamp held;
  std::optional<RulesDeltaScript> delta;
  std::optional<RulesVersion> whole;

  bool operator==(const FetchRulesReply&) const = default;
};

struct ListMembersRequest {
  MemberRecord self;

  bool operator==(const ListMembersRequest&) const = default;
};

struct ListMembersReply {
  VersionStamp held;
  std::vector<MemberRecord> members;
  std::uint64_t claim_epoch = 0;

  bool operator==(const ListMembersReply&) const = default;
};

struct DataCentreDigest {
  std::string data_centre;
  std::uint64_t members_hash = 0;
  std::vector<std::uint64_t> bucket_hashes;

  bool operator==(const DataCentreDigest&) const = default;
};

struct RelayExchangeRequest {
  std::vector<QuarantineEvidence> strikes;
  std::string data_centre;
  VersionStamp held;
  std::vector<DataCentreDigest> digests;
  std::vector<DataCentreProgress> progress;
  std::vector<MemberRecord> members;

  bool operator==(const RelayExchangeRequest&) const = default;
};

struct RelayExchangeReply {
  std::uint64_t claim_epoch = 0;
  std::vector<QuarantineEvidence> strikes;
  VersionStamp held;
  std::vector<DataCentreDigest> digests;
  std::vector<DataCentreProgress> progress;
  std::vector<MemberRecord> members;

  bool operator==(const RelayExchangeReply&) const = default;
};

struct ClaimOwnerMapRequest {
  std::uint64_t have_epoch = 0;

  bool operator==(const ClaimOwnerMapRequest&) const = default;
};

struct ClaimOwnerMap {
  std::uint64_t epoch = 0;
  std::vector<std::string> hosts;
  std::vector<std::uint64_t> incarnations;
  std::uint64_t created_unix_ms = 0;

  bool operator==(const ClaimOwnerMap&) const = default;
};

struct ClaimRecord {
  std::string key;
  std::uint64_t request_hash = 0;
  ClaimState state = ClaimState::kUnknown;
  std::uint32_t status_code = 0;
  std::string answer;
  bool answer_kept = false;
  std::uint64_t age_ms = 0;
  std::string content_type;
  std::uint64_t attempt_id = 0;
  std::string caller_host;
  std::uint64_t caller_incarnation = 0;
  std::string workspace;

  bool operator==(const ClaimRecord&) const = default;
};

struct ClaimRequest {
  std::string key;
  std::uint64_t request_hash = 0;
  std::uint64_t owner_map_epoch = 0;
  std::uint64_t attempt_id = 0;
  std::string caller_host;
  std::uint64_t caller_incarnation = 0;
  std::string workspace;

  bool operator==(const ClaimRequest&) const = default;
};

struct ClaimReply {
  ClaimDecision decision = ClaimDecision::kUnknown;
  ClaimRecord record;
  std::uint64_t owner_map_epoch = 0;

  bool operator==(const ClaimReply&) const = default;
};

struct ClaimDoneRequest {
  std::string key;
  std::uint64_t attempt_id = 0;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  std::uint32_t status_code = 0;
  std::string answer;
  std::string content_type;

  bool operator==(const ClaimDoneRequest&) const = default;
};

struct ClaimDoneReply {
  bool recorded = false;

  bool operator==(const ClaimDoneReply&) const = default;
};

struct ClaimTransferRequest {
  std::uint64_t owner_map_epoch = 0;
  std::string from_host;
  std::vector<ClaimRecord> claims;
  bool complete = false;
  std::uint64_t change_epoch = 0;
  std::uint32_t part = 0;

  bool operator==(const ClaimTransferRequest&) const = default;
};

struct ClaimTransferReply {
  bool accepted = false;
  std::uint64_t owner_map_epoch = 0;
  std::uint32_t next_part = 0;

  bool operator==(const ClaimTransferReply&) const = default;
};

}  // namespace lacewingbridge
