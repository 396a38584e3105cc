// Generated from Source/Schema/admin.proto by Utilities/SchemaGenerator. Do not edit.
#include "admin_codec.h"

#include <google/protobuf/util/json_util.h>

#include "admin.pb.h"
#include "dump_codec.h"
#include "membership_codec.h"

namespace lacewingbridge {

void ToWire(const OperatorError& plain, wire::OperatorError& wire) {
  wire.set_kind(plain.kind);
  wire.set_message(plain.message);
}

void FromWire(const wire::OperatorError& wire, OperatorError& plain) {
  plain.kind = wire.kind();
  plain.message = wire.message();
}

std::string Encode(const OperatorError& plain) {
  wire::OperatorError wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, OperatorError& plain) {
  wire::OperatorError wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const OperatorError& plain) {
  wire::OperatorError wire;
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

bool DecodeJson(std::string_view text, OperatorError& plain) {
  wire::OperatorError wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const VersionSummary& plain, wire::VersionSummary& wire) {
  wire.set_number(plain.number);
  wire.set_digest_hex(plain.digest_hex);
  wire.set_operator_name(plain.operator_name);
  wire.set_accepted_unix_ms(plain.accepted_unix_ms);
}

void FromWire(const wire::VersionSummary& wire, VersionSummary& plain) {
  plain.number = wire.number();
  plain.digest_hex = wire.digest_hex();
  plain.operator_name = wire.operator_name();
  plain.accepted_unix_ms = wire.accepted_unix_ms();
}

std::string Encode(const VersionSummary& plain) {
  wire::VersionSummary wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, VersionSummary& plain) {
  wire::VersionSummary wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const VersionSummary& plain) {
  wire::VersionSummary wire;
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

bool DecodeJson(std::string_view text, VersionSummary& plain) {
  wire::VersionSummary wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const SubmitReply& plain, wire::SubmitReply& wire) {
  if (plain.error.has_value()) {
    ToWire(*plain.error, *wire.mutable_error());
  }
  wire.set_submission_id(plain.submission_id);
  if (plain.version != VersionSummary{}) {
    ToWire(plain.version, *wire.mutable_version());
  }
  wire.set_difference(plain.difference);
}

void FromWire(const wire::SubmitReply& wire, SubmitReply& plain) {
  if (wire.has_error()) {
    FromWire(wire.error(), plain.error.emplace());
  }
  plain.submission_id = wire.submission_id();
  FromWire(wire.version(), plain.version);
  plain.difference = wire.difference();
}

std::string Encode(const SubmitReply& plain) {
  wire::SubmitReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, SubmitReply& plain) {
  wire::SubmitReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const SubmitReply& plain) {
  wire::SubmitReply wire;
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

bool DecodeJson(std::string_view text, SubmitReply& plain) {
  wire::SubmitReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesProblem& plain, wire::RulesProblem& wire) {
  wire.set_file(plain.file);
  wire.set_line(plain.line);
  wire.set_column(plain.column);
  wire.set_what(plain.what);
  wire.set_remedy(plain.remedy);
}

void FromWire(const wire::RulesProblem& wire, RulesProblem& plain) {
  plain.file = wire.file();
  plain.line = wire.line();
  plain.column = wire.column();
  plain.what = wire.what();
  plain.remedy = wire.remedy();
}

std::string Encode(const RulesProblem& plain) {
  wire::RulesProblem wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesProblem& plain) {
  wire::RulesProblem wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesProblem& plain) {
  wire::RulesProblem wire;
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

bool DecodeJson(std::string_view text, RulesProblem& plain) {
  wire::RulesProblem wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const CheckReply& plain, wire::CheckReply& wire) {
  for (const auto& element : plain.problems) {
    ToWire(element, *wire.add_problems());
  }
  wire.set_service_count(plain.service_count);
  wire.set_route_count(plain.route_count);
  wire.set_limit_count(plain.limit_count);
  wire.set_workspace_count(plain.workspace_count);
}

void FromWire(const wire::CheckReply& wire, CheckReply& plain) {
  plain.problems.reserve(static_cast<std::size_t>(wire.problems_size()));
  for (const auto& element : wire.problems()) {
    FromWire(element, plain.problems.emplace_back());
  }
  plain.service_count = wire.service_count();
  plain.route_count = wire.route_count();
  plain.limit_count = wire.limit_count();
  plain.workspace_count = wire.workspace_count();
}

std::string Encode(const CheckReply& plain) {
  wire::CheckReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, CheckReply& plain) {
  wire::CheckReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const CheckReply& plain) {
  wire::CheckReply wire;
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

bool DecodeJson(std::string_view text, CheckReply& plain) {
  wire::CheckReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StatusReply& plain, wire::StatusReply& wire) {
  if (plain.error.has_value()) {
    ToWire(*plain.error, *wire.mutable_error());
  }
  if (plain.newest != VersionSummary{}) {
    ToWire(plain.newest, *wire.mutable_newest());
  }
  if (plain.held != VersionSummary{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  wire.set_in_force_everywhere(plain.in_force_everywhere);
  wire.set_store_reachable(plain.store_reachable);
  for (const auto& element : plain.progress) {
    ToWire(element, *wire.add_progress());
  }
  for (const auto& element : plain.displaced) {
    ToWire(element, *wire.add_displaced());
  }
}

void FromWire(const wire::StatusReply& wire, StatusReply& plain) {
  if (wire.has_error()) {
    FromWire(wire.error(), plain.error.emplace());
  }
  FromWire(wire.newest(), plain.newest);
  FromWire(wire.held(), plain.held);
  plain.in_force_everywhere = wire.in_force_everywhere();
  plain.store_reachable = wire.store_reachable();
  plain.progress.reserve(static_cast<std::size_t>(wire.progress_size()));
  for (const auto& element : wire.progress()) {
    FromWire(element, plain.progress.emplace_back());
  }
  plain.displaced.reserve(static_cast<std::size_t>(wire.displaced_size()));
  for (const auto& element : wire.displaced()) {
    FromWire(element, plain.displaced.emplace_back());
  }
}

std::string Encode(const StatusReply& plain) {
  wire::StatusReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StatusReply& plain) {
  wire::StatusReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StatusReply& plain) {
  wire::StatusReply wire;
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

bool DecodeJson(std::string_view text, StatusReply& plain) {
  wire::StatusReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ExplainReply& plain, wire::ExplainReply& wire) {
  if (plain.error.has_value()) {
    ToWire(*plain.error, *wire.mutable_error());
  }
  if (plain.version != VersionSummary{}) {
    ToWire(plain.version, *wire.mutable_version());
  }
  wire.set_route(plain.route);
  wire.set_service(plain.service);
  wire.set_line(plain.line);
  wire.set_rule(plain.rule);
  wire.set_asked_by(plain.asked_by);
  wire.set_reason(plain.reason);
  wire.set_target(plain.target);
  wire.set_target_reason(plain.target_reason);
  wire.set_access(plain.access);
  wire.set_access_reason(plain.access_reason);
}

void FromWire(const wire::ExplainReply& wire, ExplainReply& plain) {
  if (wire.has_error()) {
    FromWire(wire.error(), plain.error.emplace());
  }
  FromWire(wire.version(), plain.version);
  plain.route = wire.route();
  plain.service = wire.service();
  plain.line = wire.line();
  plain.rule = wire.rule();
  plain.asked_by = wire.asked_by();
  plain.reason = wire.reason();
  plain.target = wire.target();
  plain.target_reason = wire.target_reason();
  plain.access = wire.access();
  plain.access_reason = wire.access_reason();
}

std::string Encode(const ExplainReply& plain) {
  wire::ExplainReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ExplainReply& plain) {
  wire::ExplainReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ExplainReply& plain) {
  wire::ExplainReply wire;
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

bool DecodeJson(std::string_view text, ExplainReply& plain) {
  wire::ExplainReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesReply& plain, wire::RulesReply& wire) {
  if (plain.error.has_value()) {
    ToWire(*plain.error, *wire.mutable_error());
  }
  if (plain.version != VersionSummary{}) {
    ToWire(plain.version, *wire.mutable_version());
  }
  wire.set_text(plain.text);
}

void FromWire(const wire::RulesReply& wire, RulesReply& plain) {
  if (wire.has_error()) {
    FromWire(wire.error(), plain.error.emplace());
  }
  FromWire(wire.version(), plain.version);
  plain.text = wire.text();
}

std::string Encode(const RulesReply& plain) {
  wire::RulesReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesReply& plain) {
  wire::RulesReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesReply& plain) {
  wire::RulesReply wire;
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

bool DecodeJson(std::string_view text, RulesReply& plain) {
  wire::RulesReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const DrainReply& plain, wire::DrainReply& wire) {
  if (plain.error.has_value()) {
    ToWire(*plain.error, *wire.mutable_error());
  }
  wire.set_draining(plain.draining);
}

void FromWire(const wire::DrainReply& wire, DrainReply& plain) {
  if (wire.has_error()) {
    FromWire(wire.error(), plain.error.emplace());
  }
  plain.draining = wire.draining();
}

std::string Encode(const DrainReply& plain) {
  wire::DrainReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, DrainReply& plain) {
  wire::DrainReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const DrainReply& plain) {
  wire::DrainReply wire;
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

bool DecodeJson(std::string_view text, DrainReply& plain) {
  wire::DrainReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const TargetAnnouncement& plain, wire::TargetAnnouncement& wire) {
  wire.set_service(plain.service);
  wire.set_address(plain.address);
  wire.set_slots(plain.slots);
  wire.set_draining(plain.draining);
  wire.set_reported_load_permille(plain.reported_load_permille);
  wire.set_incarnation(plain.incarnation);
}

void FromWire(const wire::TargetAnnouncement& wire, TargetAnnouncement& plain) {
  plain.service = wire.service();
  plain.address = wire.address();
  plain.slots = wire.slots();
  plain.draining = wire.draining();
  plain.reported_load_permille = wire.reported_load_permille();
  plain.incarnation = wire.incarnation();
}

std::string Encode(const TargetAnnouncement& plain) {
  wire::TargetAnnouncement wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, TargetAnnouncement& plain) {
  wire::TargetAnnouncement wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const TargetAnnouncement& plain) {
  wire::TargetAnnouncement wire;
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

bool DecodeJson(std::string_view text, TargetAnnouncement& plain) {
  wire::TargetAnnouncement wire;
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
