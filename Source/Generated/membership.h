// Generated from Source/Schema/membership.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rules.h"

namespace lacewingbridge {

enum class MemberState {
  kUnknown = 0,
  kAlive = 1,
  kSuspect = 2,
  kDraining = 3,
  kDead = 4,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(MemberState value) {
  switch (value) {
    case MemberState::kUnknown:
      return "unknown";
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kDead:
      return "dead";
  }
  return "invalid";
}

enum class GossipKind {
  kUnknown = 0,
  kProbe = 1,
  kProbeRequest = 2,
  kAck = 3,
  kPush = 4,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(GossipKind value) {
  switch (value) {
    case GossipKind::kUnknown:
      return "unknown";
    case GossipKind::kProbe:
      return "probe";
    case GossipKind::kProbeRequest:
      return "probe_request";
    case GossipKind::kAck:
      return "ack";
    case GossipKind::kPush:
      return "push";
  }
  return "invalid";
}

struct TargetRecord {
  std::string service;
  std::string address;
  std::uint32_t slots = 0;
  bool draining = false;
  std::uint32_t reported_load_permille = 0;
  std::uint64_t incarnation = 0;

  bool operator==(const TargetRecord&) const = default;
};

struct MemberRecord {
  std::string host;
  std::string region;
  std::string data_centre;
  std::string control_address;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  MemberState state = MemberState::kUnknown;
  std::vector<TargetRecord> targets;

  bool operator==(const MemberRecord&) const = default;
};

struct QuarantineEvidence {
  std::uint64_t fingerprint = 0;
  std::string target_address;
  std::uint64_t target_incarnation = 0;
  bool target_responded = false;
  std::uint64_t age_ms = 0;

  bool operator==(const QuarantineEvidence&) const = default;
};

struct DataCentreProgress {
  std::string data_centre;
  std::string region;
  VersionStamp lowest;
  std::uint32_t member_count = 0;
  std::uint32_t lagging_count = 0;
  std::uint64_t lagging_ms = 0;
  std::uint64_t age_ms = 0;

  bool operator==(const DataCentreProgress&) const = default;
};

struct MemberSuspicion {
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;

  bool operator==(const MemberSuspicion&) const = default;
};

struct GossipDatagram {
  GossipKind kind = GossipKind::kUnknown;
  std::string sender_host;
  std::uint64_t sender_incarnation = 0;
  std::uint64_t probe_id = 0;
  std::string subject_host;
  std::string subject_control_address;
  VersionStamp held;
  std::vector<DataCentreProgress> progress;
  std::vector<MemberRecord> members;
  std::vector<QuarantineEvidence> strikes;
  std::optional<RulesDeltaScript> delta;
  std::vector<MemberSuspicion> suspicions;
  std::uint64_t claim_epoch = 0;
  std::uint64_t members_hash = 0;

  bool operator==(const GossipDatagram&) const = default;
};

}  // namespace lacewingbridge
