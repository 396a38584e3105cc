// Generated from Source/Schema/rules.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>


namespace lacewingbridge {

struct VersionStamp {
  std::uint64_t number = 0;
  std::string digest;

  bool operator==(const VersionStamp&) const = default;
};

struct DeltaEdit {
  std::uint32_t keep_lines = 0;
  std::uint32_t skip_lines = 0;
  std::string insert_text;

  bool operator==(const DeltaEdit&) const = default;
};

struct RulesOrigin {
  std::string submission_id;
  std::string operator_name;
  std::uint64_t accepted_unix_ms = 0;

  bool operator==(const RulesOrigin&) const = default;
};

struct RulesDeltaScript {
  VersionStamp parent;
  VersionStamp result;
  std::vector<DeltaEdit> edits;
  RulesOrigin origin;

  bool operator==(const RulesDeltaScript&) const = default;
};

struct RulesVersion {
  VersionStamp stamp;
  VersionStamp parent;
  std::string submission_id;
  std::string operator_name;
  std::uint64_t accepted_unix_ms = 0;
  std::string text;

  bool operator==(const RulesVersion&) const = default;
};

struct SubmissionRecord {
  std::string submission_id;
  std::uint64_t number = 0;

  bool operator==(const SubmissionRecord&) const = default;
};

struct RulesHead {
  VersionStamp stamp;
  VersionStamp parent;
  std::string submission_id;
  std::string operator_name;
  std::uint64_t accepted_unix_ms = 0;
  std::optional<RulesDeltaScript> delta;
  std::vector<SubmissionRecord> recent_submissions;

  bool operator==(const RulesHead&) const = default;
};

}  // namespace lacewingbridge
