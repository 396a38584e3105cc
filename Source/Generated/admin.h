// Generated from Source/Schema/admin.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dump.h"
#include "membership.h"

namespace lacewingbridge {

struct OperatorError {
  std::string kind;
  std::string message;

  bool operator==(const OperatorError&) const = default;
};

struct VersionSummary {
  std::uint64_t number = 0;
  std::string digest_hex;
  std::string operator_name;
  std::uint64_t accepted_unix_ms = 0;

  bool operator==(const VersionSummary&) const = default;
};

struct SubmitReply {
  std::optional<OperatorError> error;
  std::string submission_id;
  VersionSummary version;
  std::string difference;

  bool operator==(const SubmitReply&) const = default;
};

struct RulesProblem {
  std::string file;
  std::uint32_t line = 0;
  std::uint32_t column = 0;
  std::string what;
  std::string remedy;

  bool operator==(const RulesProblem&) const = default;
};

struct CheckReply {
  std::vector<RulesProblem> problems;
  std::uint32_t service_count = 0;
  std::uint32_t route_count = 0;
  std::uint32_t limit_count = 0;
  std::uint32_t workspace_count = 0;

  bool operator==(const CheckReply&) const = default;
};

struct StatusReply {
  std::optional<OperatorError> error;
  VersionSummary newest;
  VersionSummary held;
  bool in_force_everywhere = false;
  bool store_reachable = false;
  std::vector<DataCentreProgress> progress;
  std::vector<DisplacedVersion> displaced;

  bool operator==(const StatusReply&) const = default;
};

struct ExplainReply {
  std::optional<OperatorError> error;
  VersionSummary version;
  std::string route;
  std::string service;
  std::uint32_t line = 0;
  std::string rule;
  std::string asked_by;
  std::string reason;
  std::string target;
  std::string target_reason;
  std::string access;
  std::string access_reason;

  bool operator==(const ExplainReply&) const = default;
};

struct RulesReply {
  std::optional<OperatorError> error;
  VersionSummary version;
  std::string text;

  bool operator==(const RulesReply&) const = default;
};

struct DrainReply {
  std::optional<OperatorError> error;
  bool draining = false;

  bool operator==(const DrainReply&) const = default;
};

struct TargetAnnouncement {
  std::string service;
  std::string address;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint32_t reported_load_permille = 0;
  std::uint64_t incarnation = 0;

  bool operator==(const TargetAnnouncement&) const = default;
};

}  // namespace lacewingbridge
