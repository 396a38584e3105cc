// Generated from Source/Schema/mesh.proto by Utilities/SchemaGenerator. Do not edit.
#include "mesh_codec.h"

#include <google/protobuf/util/json_util.h>

#include "mesh.pb.h"
#include "membership_codec.h"

namespace lacewingbridge {

void ToWire(const RouteDestination& plain, wire::RouteDestination& wire) {
  wire.set_service(plain.service);
  wire.set_weight(plain.weight);
}

void FromWire(const wire::RouteDestination& wire, RouteDestination& plain) {
  plain.service = wire.service();
  plain.weight = wire.weight();
}

std::string Encode(const RouteDestination& plain) {
  wire::RouteDestination wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RouteDestination& plain) {
  wire::RouteDestination wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RouteDestination& plain) {
  wire::RouteDestination wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, RouteDestination& plain) {
  wire::RouteDestination wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const HostRoute& plain, wire::HostRoute& wire) {
  wire.set_name(plain.name);
  wire.set_host(plain.host);
  wire.set_path_prefix(plain.path_prefix);
  for (const auto& element : plain.destinations) {
    ToWire(element, *wire.add_destinations());
  }
  wire.set_idempotent(plain.idempotent);
  wire.set_timeout_ms(plain.timeout_ms);
  wire.set_objective_ms(plain.objective_ms);
  wire.set_priority(plain.priority);
  wire.set_max_attempts(plain.max_attempts);
  wire.set_is_public(plain.is_public);
}

void FromWire(const wire::HostRoute& wire, HostRoute& plain) {
  plain.name = wire.name();
  plain.host = wire.host();
  plain.path_prefix = wire.path_prefix();
  plain.destinations.reserve(static_cast<std::size_t>(wire.destinations_size()));
  for (const auto& element : wire.destinations()) {
    FromWire(element, plain.destinations.emplace_back());
  }
  plain.idempotent = wire.idempotent();
  plain.timeout_ms = wire.timeout_ms();
  plain.objective_ms = wire.objective_ms();
  plain.priority = wire.priority();
  plain.max_attempts = wire.max_attempts();
  plain.is_public = wire.is_public();
}

std::string Encode(const HostRoute& plain) {
  wire::HostRoute wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, HostRoute& plain) {
  wire::HostRoute wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const HostRoute& plain) {
  wire::HostRoute wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, HostRoute& plain) {
  wire::HostRoute wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MeshWorkspace& plain, wire::MeshWorkspace& wire) {
  wire.set_name(plain.name);
  for (const auto& element : plain.key_digests) {
    wire.add_key_digests(element);
  }
  if (plain.priority.has_value()) {
    wire.set_priority(*plain.priority);
  }
  wire.set_rate_per_s(plain.rate_per_s);
  wire.set_burst(plain.burst);
}

void FromWire(const wire::MeshWorkspace& wire, MeshWorkspace& plain) {
  plain.name = wire.name();
  plain.key_digests.reserve(static_cast<std::size_t>(wire.key_digests_size()));
  for (const auto& element : wire.key_digests()) {
    plain.key_digests.push_back(element);
  }
  if (wire.has_priority()) {
    plain.priority = wire.priority();
  }
  plain.rate_per_s = wire.rate_per_s();
  plain.burst = wire.burst();
}

std::string Encode(const MeshWorkspace& plain) {
  wire::MeshWorkspace wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MeshWorkspace& plain) {
  wire::MeshWorkspace wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MeshWorkspace& plain) {
  wire::MeshWorkspace wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, MeshWorkspace& plain) {
  wire::MeshWorkspace wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MeshService& plain, wire::MeshService& wire) {
  wire.set_name(plain.name);
  wire.set_health_path(plain.health_path);
  wire.set_max_connections(plain.max_connections);
}

void FromWire(const wire::MeshService& wire, MeshService& plain) {
  plain.name = wire.name();
  plain.health_path = wire.health_path();
  plain.max_connections = wire.max_connections();
}

std::string Encode(const MeshService& plain) {
  wire::MeshService wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MeshService& plain) {
  wire::MeshService wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MeshService& plain) {
  wire::MeshService wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, MeshService& plain) {
  wire::MeshService wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const CallerLimits& plain, wire::CallerLimits& wire) {
  wire.set_max_header_bytes(plain.max_header_bytes);
  wire.set_max_body_bytes(plain.max_body_bytes);
  wire.set_header_timeout_ms(plain.header_timeout_ms);
  wire.set_idle_timeout_ms(plain.idle_timeout_ms);
}

void FromWire(const wire::CallerLimits& wire, CallerLimits& plain) {
  plain.max_header_bytes = wire.max_header_bytes();
  plain.max_body_bytes = wire.max_body_bytes();
  plain.header_timeout_ms = wire.header_timeout_ms();
  plain.idle_timeout_ms = wire.idle_timeout_ms();
}

std::string Encode(const CallerLimits& plain) {
  wire::CallerLimits wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, CallerLimits& plain) {
  wire::CallerLimits wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const CallerLimits& plain) {
  wire::CallerLimits wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, CallerLimits& plain) {
  wire::CallerLimits wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RouteTable& plain, wire::RouteTable& wire) {
  wire.set_version(plain.version);
  for (const auto& element : plain.routes) {
    ToWire(element, *wire.add_routes());
  }
  for (const auto& element : plain.services) {
    ToWire(element, *wire.add_services());
  }
  if (plain.limits != CallerLimits{}) {
    ToWire(plain.limits, *wire.mutable_limits());
  }
  for (const auto& element : plain.workspaces) {
    ToWire(element, *wire.add_workspaces());
  }
}

void FromWire(const wire::RouteTable& wire, RouteTable& plain) {
  plain.version = wire.version();
  plain.routes.reserve(static_cast<std::size_t>(wire.routes_size()));
  for (const auto& element : wire.routes()) {
    FromWire(element, plain.routes.emplace_back());
  }
  plain.services.reserve(static_cast<std::size_t>(wire.services_size()));
  for (const auto& element : wire.services()) {
    FromWire(element, plain.services.emplace_back());
  }
  FromWire(wire.limits(), plain.limits);
  plain.workspaces.reserve(static_cast<std::size_t>(wire.workspaces_size()));
  for (const auto& element : wire.workspaces()) {
    FromWire(element, plain.workspaces.emplace_back());
  }
}

std::string Encode(const RouteTable& plain) {
  wire::RouteTable wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RouteTable& plain) {
  wire::RouteTable wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RouteTable& plain) {
  wire::RouteTable wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, RouteTable& plain) {
  wire::RouteTable wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const LocalTargetRecord& plain, wire::LocalTargetRecord& wire) {
  wire.set_service(plain.service);
  wire.set_id(plain.id);
  wire.set_born_unix_ms(plain.born_unix_ms);
  wire.set_slots(plain.slots);
  wire.set_accepting(plain.accepting);
  wire.set_stay(static_cast<wire::TargetStay>(plain.stay));
}

void FromWire(const wire::LocalTargetRecord& wire, LocalTargetRecord& plain) {
  plain.service = wire.service();
  plain.id = wire.id();
  plain.born_unix_ms = wire.born_unix_ms();
  plain.slots = wire.slots();
  plain.accepting = wire.accepting();
  plain.stay = static_cast<TargetStay>(wire.stay());
}

std::string Encode(const LocalTargetRecord& plain) {
  wire::LocalTargetRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, LocalTargetRecord& plain) {
  wire::LocalTargetRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const LocalTargetRecord& plain) {
  wire::LocalTargetRecord wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, LocalTargetRecord& plain) {
  wire::LocalTargetRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const HostRecord& plain, wire::HostRecord& wire) {
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  wire.set_peer_address(plain.peer_address);
  wire.set_revision(plain.revision);
  if (plain.target.has_value()) {
    ToWire(*plain.target, *wire.mutable_target());
  }
  wire.set_store_era(plain.store_era);
  wire.set_grants(plain.grants);
}

void FromWire(const wire::HostRecord& wire, HostRecord& plain) {
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  plain.peer_address = wire.peer_address();
  plain.revision = wire.revision();
  if (wire.has_target()) {
    FromWire(wire.target(), plain.target.emplace());
  }
  plain.store_era = wire.store_era();
  plain.grants = wire.grants();
}

std::string Encode(const HostRecord& plain) {
  wire::HostRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, HostRecord& plain) {
  wire::HostRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const HostRecord& plain) {
  wire::HostRecord wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, HostRecord& plain) {
  wire::HostRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const PeerSnapshot& plain, wire::PeerSnapshot& wire) {
  if (plain.table != RouteTable{}) {
    ToWire(plain.table, *wire.mutable_table());
  }
  for (const auto& element : plain.hosts) {
    ToWire(element, *wire.add_hosts());
  }
}

void FromWire(const wire::PeerSnapshot& wire, PeerSnapshot& plain) {
  FromWire(wire.table(), plain.table);
  plain.hosts.reserve(static_cast<std::size_t>(wire.hosts_size()));
  for (const auto& element : wire.hosts()) {
    FromWire(element, plain.hosts.emplace_back());
  }
}

std::string Encode(const PeerSnapshot& plain) {
  wire::PeerSnapshot wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, PeerSnapshot& plain) {
  wire::PeerSnapshot wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const PeerSnapshot& plain) {
  wire::PeerSnapshot wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, PeerSnapshot& plain) {
  wire::PeerSnapshot wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const PeerProgress& plain, wire::PeerProgress& wire) {
  wire.set_table_version(plain.table_version);
  wire.set_hosts_revision(plain.hosts_revision);
  if (plain.proof_age_ms.has_value()) {
    wire.set_proof_age_ms(*plain.proof_age_ms);
  }
  wire.set_hosts_era(plain.hosts_era);
}

void FromWire(const wire::PeerProgress& wire, PeerProgress& plain) {
  plain.table_version = wire.table_version();
  plain.hosts_revision = wire.hosts_revision();
  if (wire.has_proof_age_ms()) {
    plain.proof_age_ms = wire.proof_age_ms();
  }
  plain.hosts_era = wire.hosts_era();
}

std::string Encode(const PeerProgress& plain) {
  wire::PeerProgress wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, PeerProgress& plain) {
  wire::PeerProgress wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const PeerProgress& plain) {
  wire::PeerProgress wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, PeerProgress& plain) {
  wire::PeerProgress wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const HopRequest& plain, wire::HopRequest& wire) {
  wire.set_service(plain.service);
  wire.set_target_id(plain.target_id);
  wire.set_caller_service(plain.caller_service);
  wire.set_time_left_ms(plain.time_left_ms);
  wire.set_objective_left_ms(plain.objective_left_ms);
  wire.set_priority(plain.priority);
  wire.set_idempotent(plain.idempotent);
  wire.set_repeated(plain.repeated);
  wire.set_table_version(plain.table_version);
  wire.set_sender(plain.sender);
  for (const auto& element : plain.strikes) {
    ToWire(element, *wire.add_strikes());
  }
  wire.set_fingerprint(plain.fingerprint);
  wire.set_answer_bytes(plain.answer_bytes);
  wire.set_hop_id(plain.hop_id);
  wire.set_repeat_percent(plain.repeat_percent);
  wire.set_workspace(plain.workspace);
  if (plain.work_class.has_value()) {
    wire.set_work_class(*plain.work_class);
  }
  wire.set_has_alternatives(plain.has_alternatives);
}

void FromWire(const wire::HopRequest& wire, HopRequest& plain) {
  plain.service = wire.service();
  plain.target_id = wire.target_id();
  plain.caller_service = wire.caller_service();
  plain.time_left_ms = wire.time_left_ms();
  plain.objective_left_ms = wire.objective_left_ms();
  plain.priority = wire.priority();
  plain.idempotent = wire.idempotent();
  plain.repeated = wire.repeated();
  plain.table_version = wire.table_version();
  plain.sender = wire.sender();
  plain.strikes.reserve(static_cast<std::size_t>(wire.strikes_size()));
  for (const auto& element : wire.strikes()) {
    FromWire(element, plain.strikes.emplace_back());
  }
  plain.fingerprint = wire.fingerprint();
  plain.answer_bytes = wire.answer_bytes();
  plain.hop_id = wire.hop_id();
  plain.repeat_percent = wire.repeat_percent();
  plain.workspace = wire.workspace();
  if (wire.has_work_class()) {
    plain.work_class = wire.work_class();
  }
  plain.has_alternatives = wire.has_alternatives();
}

std::string Encode(const HopRequest& plain) {
  wire::HopRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, HopRequest& plain) {
  wire::HopRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const HopRequest& plain) {
  wire::HopRequest wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, HopRequest& plain) {
  wire::HopRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const HopReport& plain, wire::HopReport& wire) {
  wire.set_outcome(static_cast<wire::HopOutcome>(plain.outcome));
  wire.set_running(plain.running);
  wire.set_waiting(plain.waiting);
  wire.set_slots(plain.slots);
  wire.set_expected_wait_ms(plain.expected_wait_ms);
  wire.set_service_time_ms(plain.service_time_ms);
  wire.set_accepting(plain.accepting);
  wire.set_target_id(plain.target_id);
  wire.set_table_version(plain.table_version);
  wire.set_reason(plain.reason);
  for (const auto& element : plain.strikes) {
    ToWire(element, *wire.add_strikes());
  }
  wire.set_link_wait_ms(plain.link_wait_ms);
  wire.set_link_bytes_per_second(plain.link_bytes_per_second);
  wire.set_hop_id(plain.hop_id);
  wire.set_call_failed(plain.call_failed);
  wire.set_failing(plain.failing);
  if (plain.proof_age_ms.has_value()) {
    wire.set_proof_age_ms(*plain.proof_age_ms);
  }
  wire.set_class_time_ms(plain.class_time_ms);
  wire.set_work_class(plain.work_class);
  wire.set_work_percent(plain.work_percent);
  wire.set_work_lifetime_ms(plain.work_lifetime_ms);
  wire.set_share_wait_ms(plain.share_wait_ms);
}

void FromWire(const wire::HopReport& wire, HopReport& plain) {
  plain.outcome = static_cast<HopOutcome>(wire.outcome());
  plain.running = wire.running();
  plain.waiting = wire.waiting();
  plain.slots = wire.slots();
  plain.expected_wait_ms = wire.expected_wait_ms();
  plain.service_time_ms = wire.service_time_ms();
  plain.accepting = wire.accepting();
  plain.target_id = wire.target_id();
  plain.table_version = wire.table_version();
  plain.reason = wire.reason();
  plain.strikes.reserve(static_cast<std::size_t>(wire.strikes_size()));
  for (const auto& element : wire.strikes()) {
    FromWire(element, plain.strikes.emplace_back());
  }
  plain.link_wait_ms = wire.link_wait_ms();
  plain.link_bytes_per_second = wire.link_bytes_per_second();
  plain.hop_id = wire.hop_id();
  plain.call_failed = wire.call_failed();
  plain.failing = wire.failing();
  if (wire.has_proof_age_ms()) {
    plain.proof_age_ms = wire.proof_age_ms();
  }
  plain.class_time_ms = wire.class_time_ms();
  plain.work_class = wire.work_class();
  plain.work_percent = wire.work_percent();
  plain.work_lifetime_ms = wire.work_lifetime_ms();
  plain.share_wait_ms = wire.share_wait_ms();
}

std::string Encode(const HopReport& plain) {
  wire::HopReport wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, HopReport& plain) {
  wire::HopReport wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const HopReport& plain) {
  wire::HopReport wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, HopReport& plain) {
  wire::HopReport wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const HopTrace& plain, wire::HopTrace& wire) {
  wire.set_peer_address(plain.peer_address);
  wire.set_target_id(plain.target_id);
  wire.set_outcome(static_cast<wire::HopOutcome>(plain.outcome));
  wire.set_reason(plain.reason);
  wire.set_status(plain.status);
  wire.set_expected_wait_ms(plain.expected_wait_ms);
  wire.set_ended_after_ms(plain.ended_after_ms);
  wire.set_chosen_wait_ms(plain.chosen_wait_ms);
  wire.set_report_age_ms(plain.report_age_ms);
}

void FromWire(const wire::HopTrace& wire, HopTrace& plain) {
  plain.peer_address = wire.peer_address();
  plain.target_id = wire.target_id();
  plain.outcome = static_cast<HopOutcome>(wire.outcome());
  plain.reason = wire.reason();
  plain.status = wire.status();
  plain.expected_wait_ms = wire.expected_wait_ms();
  plain.ended_after_ms = wire.ended_after_ms();
  plain.chosen_wait_ms = wire.chosen_wait_ms();
  plain.report_age_ms = wire.report_age_ms();
}

std::string Encode(const HopTrace& plain) {
  wire::HopTrace wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, HopTrace& plain) {
  wire::HopTrace wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const HopTrace& plain) {
  wire::HopTrace wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, HopTrace& plain) {
  wire::HopTrace wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RequestTrace& plain, wire::RequestTrace& wire) {
  wire.set_request_id(plain.request_id);
  wire.set_path(plain.path);
  wire.set_route(plain.route);
  wire.set_table_version(plain.table_version);
  wire.set_service(plain.service);
  wire.set_status(plain.status);
  wire.set_reason(plain.reason);
  wire.set_age_ms(plain.age_ms);
  wire.set_after_ms(plain.after_ms);
  wire.set_time_left_ms(plain.time_left_ms);
  for (const auto& element : plain.hops) {
    ToWire(element, *wire.add_hops());
  }
  wire.set_workspace(plain.workspace);
}

void FromWire(const wire::RequestTrace& wire, RequestTrace& plain) {
  plain.request_id = wire.request_id();
  plain.path = wire.path();
  plain.route = wire.route();
  plain.table_version = wire.table_version();
  plain.service = wire.service();
  plain.status = wire.status();
  plain.reason = wire.reason();
  plain.age_ms = wire.age_ms();
  plain.after_ms = wire.after_ms();
  plain.time_left_ms = wire.time_left_ms();
  plain.hops.reserve(static_cast<std::size_t>(wire.hops_size()));
  for (const auto& element : wire.hops()) {
    FromWire(element, plain.hops.emplace_back());
  }
  plain.workspace = wire.workspace();
}

std::string Encode(const RequestTrace& plain) {
  wire::RequestTrace wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RequestTrace& plain) {
  wire::RequestTrace wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RequestTrace& plain) {
  wire::RequestTrace wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, RequestTrace& plain) {
  wire::RequestTrace wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RequestTraceList& plain, wire::RequestTraceList& wire) {
  for (const auto& element : plain.traces) {
    ToWire(element, *wire.add_traces());
  }
}

void FromWire(const wire::RequestTraceList& wire, RequestTraceList& plain) {
  plain.traces.reserve(static_cast<std::size_t>(wire.traces_size()));
  for (const auto& element : wire.traces()) {
    FromWire(element, plain.traces.emplace_back());
  }
}

std::string Encode(const RequestTraceList& plain) {
  wire::RequestTraceList wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RequestTraceList& plain) {
  wire::RequestTraceList wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RequestTraceList& plain) {
  wire::RequestTraceList wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, RequestTraceList& plain) {
  wire::RequestTraceList wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MeshDump& plain, wire::MeshDump& wire) {
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  wire.set_table_version(plain.table_version);
  wire.set_route_count(plain.route_count);
  for (const auto& element : plain.hosts) {
    ToWire(element, *wire.add_hosts());
  }
  if (plain.target != LocalTargetRecord{}) {
    ToWire(plain.target, *wire.mutable_target());
  }
  if (plain.target_report != HopReport{}) {
    ToWire(plain.target_report, *wire.mutable_target_report());
  }
  wire.set_open_requests(plain.open_requests);
  wire.set_open_connections(plain.open_connections);
  wire.set_stopping(plain.stopping);
}

void FromWire(const wire::MeshDump& wire, MeshDump& plain) {
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  plain.table_version = wire.table_version();
  plain.route_count = wire.route_count();
  plain.hosts.reserve(static_cast<std::size_t>(wire.hosts_size()));
  for (const auto& element : wire.hosts()) {
    FromWire(element, plain.hosts.emplace_back());
  }
  FromWire(wire.target(), plain.target);
  FromWire(wire.target_report(), plain.target_report);
  plain.open_requests = wire.open_requests();
  plain.open_connections = wire.open_connections();
  plain.stopping = wire.stopping();
}

std::string Encode(const MeshDump& plain) {
  wire::MeshDump wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MeshDump& plain) {
  wire::MeshDump wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MeshDump& plain) {
  wire::MeshDump wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, MeshDump& plain) {
  wire::MeshDump wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MeshSettings& plain, wire::MeshSettings& wire) {
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  wire.set_service(plain.service);
  wire.set_target_address(plain.target_address);
  wire.set_caller_address(plain.caller_address);
  wire.set_peer_address(plain.peer_address);
  wire.set_control_address(plain.control_address);
  wire.set_ready_address(plain.ready_address);
  wire.set_metrics_address(plain.metrics_address);
  wire.set_store_address(plain.store_address);
  wire.set_worker_threads(plain.worker_threads);
  wire.set_min_lease_ms(plain.min_lease_ms);
  wire.set_stop_limit_ms(plain.stop_limit_ms);
  wire.set_retry_ratio(plain.retry_ratio);
  wire.set_retry_slack(plain.retry_slack);
  wire.set_retry_window_ms(plain.retry_window_ms);
  wire.set_link_bytes_per_second(plain.link_bytes_per_second);
  wire.set_table_bound_ms(plain.table_bound_ms);
  wire.set_revoke_bound_ms(plain.revoke_bound_ms);
  wire.set_quota_window_ms(plain.quota_window_ms);
  wire.set_quota_overage(plain.quota_overage);
  wire.set_quota_slack(plain.quota_slack);
}

void FromWire(const wire::MeshSettings& wire, MeshSettings& plain) {
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  plain.service = wire.service();
  plain.target_address = wire.target_address();
  plain.caller_address = wire.caller_address();
  plain.peer_address = wire.peer_address();
  plain.control_address = wire.control_address();
  plain.ready_address = wire.ready_address();
  plain.metrics_address = wire.metrics_address();
  plain.store_address = wire.store_address();
  plain.worker_threads = wire.worker_threads();
  plain.min_lease_ms = wire.min_lease_ms();
  plain.stop_limit_ms = wire.stop_limit_ms();
  plain.retry_ratio = wire.retry_ratio();
  plain.retry_slack = wire.retry_slack();
  plain.retry_window_ms = wire.retry_window_ms();
  plain.link_bytes_per_second = wire.link_bytes_per_second();
  plain.table_bound_ms = wire.table_bound_ms();
  plain.revoke_bound_ms = wire.revoke_bound_ms();
  plain.quota_window_ms = wire.quota_window_ms();
  plain.quota_overage = wire.quota_overage();
  plain.quota_slack = wire.quota_slack();
}

std::string Encode(const MeshSettings& plain) {
  wire::MeshSettings wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MeshSettings& plain) {
  wire::MeshSettings wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MeshSettings& plain) {
  wire::MeshSettings wire;
  ToWire(plain, wire);
  std::string text;
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  if (!google::protobuf::util::MessageToJsonString(wire, &text, options).ok()) {
    return {};
  }
  return text;
}

bool DecodeJson(std::string_view text, MeshSettings& plain) {
  wire::MeshSettings wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

}  // namespace lacewingbridge
