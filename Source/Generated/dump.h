// Generated from Source/Schema/dump.proto by Utilities/SchemaGenerator. Do not edit.
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

struct TargetDump {
  std::string address;
  std::string host;
  std::string data_centre;
  std::uint32_t slots = 0;
  std::uint32_t in_flight = 0;
  bool draining = false;
  bool ejected = false;
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;

  bool operator==(const TargetDump&) const = default;
};

struct ServiceDump {
  std::string name;
  std::vector<std::string> routes;
  std::vector<TargetDump> targets;
  std::uint32_t queued = 0;

  bool operator==(const ServiceDump&) const = default;
};

struct DisplacedVersion {
  VersionStamp stamp;
  std::string operator_name;

  bool operator==(const DisplacedVersion&) const = default;
};

struct StateDump {
  std::string host;
  std::string data_centre;
  std::string region;
  std::uint64_t incarnation = 0;
  VersionStamp held;
  std::string held_operator;
  std::string watch_scope;
  bool watching = false;
  bool store_reachable = false;
  bool view_distrusted = false;
  bool draining = false;
  std::uint64_t requests_in_flight = 0;
  std::vector<MemberRecord> members;
  std::vector<ServiceDump> services;
  std::vector<DataCentreProgress> progress;
  std::uint64_t claim_epoch = 0;
  std::uint64_t claims_held = 0;
  std::uint64_t quarantine_entries = 0;
  std::vector<DisplacedVersion> displaced;

  bool operator==(const StateDump&) const = default;
};

}  // namespace lacewingbridge
