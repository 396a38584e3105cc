// Generated from Source/Schema/mesh.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "membership.h"

namespace lacewingbridge {

enum class TargetStay {
  kUnknown = 0,
  kStays = 1,
  kLeaves = 2,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(TargetStay value) {
  switch (value) {
    case TargetStay::kUnknown:
      return "unknown";
    case TargetStay::kStays:
      return "stays";
    case TargetStay::kLeaves:
      return "leaves";
  }
  return "invalid";
}

enum class HopOutcome {
  kNone = 0,
  kAnswered = 1,
  kRefused = 2,
  kNotRun = 3,
  kUnknown = 4,
  kQuarantined = 5,
};

// Word for a value, as shown to people.
constexpr std::string_view GetName(HopOutcome value) {
  switch (value) {
    case HopOutcome::kNone:
      return "none";
    case HopOutcome::kAnswered:
      return "answered";
    case HopOutcome::kRefused:
      return "refused";
    case HopOutcome::kNotRun:
      return "not_run";
    case HopOutcome::kUnknown:
      return "unknown";
    case HopOutcome::kQuarantined:
      return "quarantined";
  }
  return "invalid";
}

struct RouteDestination {
  std::string service;
  std::uint32_t weight = 0;

  bool operator==(const RouteDestination&) const = default;
};

struct HostRoute {
  std::string name;
  std::string host;
  std::string path_prefix;
  std::vector<RouteDestination> destinations;
  bool idempotent = false;
  std::uint32_t timeout_ms = 0;
  std::uint32_t objective_ms = 0;
  std::uint32_t priority = 0;
  std::uint32_t max_attempts = 0;
  bool is_public = false;

  bool operator==(const HostRoute&) const = default;
};

struct MeshWorkspace {
  std::string name;
  std::vector<std::string> key_digests;
  std::optional<std::uint32_t> priority;
  std::uint32_t rate_per_s = 0;
  std::uint32_t burst = 0;

  bool operator==(const MeshWorkspace&) const = default;
};

struct MeshService {
  std::string name;
  std::string health_path;
  std::uint32_t max_connections = 0;

  bool operator==(const MeshService&) const = default;
};

struct CallerLimits {
  std::uint32_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  std::uint32_t header_timeout_ms = 0;
  std::uint32_t idle_timeout_ms = 0;

  bool operator==(const CallerLimits&) const = default;
};

struct RouteTable {
  std::uint64_t version = 0;
  std::vector<HostRoute> routes;
  std::vector<MeshService> services;
  CallerLimits limits;
  std::vector<MeshWorkspace> workspaces;

  bool operator==(const RouteTable&) const = default;
};

struct LocalTargetRecord {
  std::string service;
  std::string id;
  std::uint64_t born_unix_ms = 0;
  std::uint32_t slots = 0;
  bool accepting = false;
  TargetStay stay = TargetStay::kUnknown;

  bool operator==(const LocalTargetRecord&) const = default;
};

struct HostRecord {
  std::string host;
  std::string data_centre;
  std::string region;
  std::string peer_address;
  std::uint64_t revision = 0;
  std::optional<LocalTargetRecord> target;
  std::uint64_t store_era = 0;
  bool grants = false;

  bool operator==(const HostRecord&) const = default;
};

struct PeerSnapshot {
  RouteTable table;
  std::vector<HostRecord> hosts;

  bool operator==(const PeerSnapshot&) const = default;
};

struct PeerProgress {
  std::uint64_t table_version = 0;
  std::uint64_t hosts_revision = 0;
  std::optional<std::uint32_t> proof_age_ms;
  std::uint64_t hosts_era = 0;

  bool operator==(const PeerProgress&) const = default;
};

struct HopRequest {
  std::string service;
  std::string target_id;
  std::string caller_service;
  std::uint32_t time_left_ms = 0;
  std::uint32_t objective_left_ms = 0;
  std::uint32_t priority = 0;
  bool idempotent = false;
  bool repeated = false;
  std::uint64_t table_version = 0;
  std::string sender;
  std::vector<QuarantineEvidence> strikes;
  std::uint64_t fingerprint = 0;
  std::uint32_t answer_bytes = 0;
  std::uint64_t hop_id = 0;
  std::uint32_t repeat_percent = 0;
  std::string workspace;
  std::optional<std::uint32_t> work_class;
  bool has_alternatives = false;

  bool operator==(const HopRequest&) const = default;
};

struct HopReport {
  HopOutcome outcome = HopOutcome::kNone;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
  std::uint32_t expected_wait_ms = 0;
  std::uint32_t service_time_ms = 0;
  bool accepting = false;
  std::string target_id;
  std::uint64_t table_version = 0;
  std::string reason;
  std::vector<QuarantineEvidence> strikes;
  std::uint32_t link_wait_ms = 0;
  std::uint64_t link_bytes_per_second = 0;
  std::uint64_t hop_id = 0;
  bool call_failed = false;
  bool failing = false;
  std::optional<std::uint32_t> proof_age_ms;
  std::uint32_t class_time_ms = 0;
  std::uint32_t work_class = 0;
  std::uint32_t work_percent = 0;
  std::uint32_t work_lifetime_ms = 0;
  std::uint32_t share_wait_ms = 0;

  bool operator==(const HopReport&) const = default;
};

struct HopTrace {
  std::string peer_address;
  std::string target_id;
  HopOutcome outcome = HopOutcome::kNone;
  std::string reason;
  std::uint32_t status = 0;
  std::uint32_t expected_wait_ms = 0;
  std::uint32_t ended_after_ms = 0;
  std::uint32_t chosen_wait_ms = 0;
  std::int32_t report_age_ms = 0;

  bool operator==(const HopTrace&) const = default;
};

struct RequestTrace {
  std::string request_id;
  std::string path;
  std::string route;
  std::uint64_t table_version = 0;
  std::string service;
  std::uint32_t status = 0;
  std::string reason;
  std::uint32_t age_ms = 0;
  std::uint32_t after_ms = 0;
  std::int32_t time_left_ms = 0;
  std::vector<HopTrace> hops;
  std::string workspace;

  bool operator==(const RequestTrace&) const = default;
};

struct RequestTraceList {
  std::vector<RequestTrace> traces;

  bool operator==(const RequestTraceList&) const = default;
};

struct MeshDump {
  std::string host;
  std::string data_centre;
  std::string region;
  std::uint64_t table_version = 0;
  std::uint32_t route_count = 0;
  std::vector<HostRecord> hosts;
  LocalTargetRecord target;
  HopReport target_report;
  std::uint32_t open_requests = 0;
  std::uint32_t open_connections = 0;
  bool stopping = false;

  bool operator==(const MeshDump&) const = default;
};

struct MeshSettings {
  std::string host;
  std::string data_centre;
  std::string region;
  std::string service;
  std::string target_address;
  std::string caller_address;
  std::string peer_address;
  std::string control_address;
  std::string ready_address;
  std::string metrics_address;
  std::string store_address;
  std::uint32_t worker_threads = 0;
  std::uint32_t min_lease_ms = 0;
  std::uint32_t stop_limit_ms = 0;
  double retry_ratio = 0;
  double retry_slack = 0;
  std::uint32_t retry_window_ms = 0;
  std::uint64_t link_bytes_per_second = 0;
  std::uint32_t table_bound_ms = 0;
  std::uint32_t revoke_bound_ms = 0;
  std::uint32_t quota_window_ms = 0;
  double quota_overage = 0;
  double quota_slack = 0;

  bool operator==(const MeshSettings&) const = default;
};

}  // namespace lacewingbridge
