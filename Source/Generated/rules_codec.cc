// Generated from Source/Schema/rules.proto by Utilities/SchemaGenerator. Do not edit.
#include "rules_codec.h"

#include <google/protobuf/util/json_util.h>

#include "rules.pb.h"

namespace lacewingbridge {

void ToWire(const VersionStamp& plain, wire::VersionStamp& wire) {
  wire.set_number(plain.number);
  wire.set_digest(plain.digest);
}

void FromWire(const wire::VersionStamp& wire, VersionStamp& plain) {
  plain.number = wire.number();
  plain.digest = wire.digest();
}

std::string Encode(const VersionStamp& plain) {
  wire::VersionStamp wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, VersionStamp& plain) {
  wire::VersionStamp wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const VersionStamp& plain) {
  wire::VersionStamp wire;
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

bool DecodeJson(std::string_view text, VersionStamp& plain) {
  wire::VersionStamp wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const DeltaEdit& plain, wire::DeltaEdit& wire) {
  wire.set_keep_lines(plain.keep_lines);
  wire.set_skip_lines(plain.skip_lines);
  wire.set_insert_text(plain.insert_text);
}

void FromWire(const wire::DeltaEdit& wire, DeltaEdit& plain) {
  plain.keep_lines = wire.keep_lines();
  plain.skip_lines = wire.skip_lines();
  plain.insert_text = wire.insert_text();
}

std::string Encode(const DeltaEdit& plain) {
  wire::DeltaEdit wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, DeltaEdit& plain) {
  wire::DeltaEdit wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const DeltaEdit& plain) {
  wire::DeltaEdit wire;
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

bool DecodeJson(std::string_view text, DeltaEdit& plain) {
  wire::DeltaEdit wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesOrigin& plain, wire::RulesOrigin& wire) {
  wire.set_submission_id(plain.submission_id);
  wire.set_operator_name(plain.operator_name);
  wire.set_accepted_unix_ms(plain.accepted_unix_ms);
}

void FromWire(const wire::RulesOrigin& wire, RulesOrigin& plain) {
  plain.submission_id = wire.submission_id();
  plain.operator_name = wire.operator_name();
  plain.accepted_unix_ms = wire.accepted_unix_ms();
}

std::string Encode(const RulesOrigin& plain) {
  wire::RulesOrigin wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesOrigin& plain) {
  wire::RulesOrigin wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesOrigin& plain) {
  wire::RulesOrigin wire;
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

bool DecodeJson(std::string_view text, RulesOrigin& plain) {
  wire::RulesOrigin wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesDeltaScript& plain, wire::RulesDeltaScript& wire) {
  if (plain.parent != VersionStamp{}) {
    ToWire(plain.parent, *wire.mutable_parent());
  }
  if (plain.result != VersionStamp{}) {
    ToWire(plain.result, *wire.mutable_result());
  }
  for (const auto& element : plain.edits) {
    ToWire(element, *wire.add_edits());
  }
  if (plain.origin != RulesOrigin{}) {
    ToWire(plain.origin, *wire.mutable_origin());
  }
}

void FromWire(const wire::RulesDeltaScript& wire, RulesDeltaScript& plain) {
  FromWire(wire.parent(), plain.parent);
  FromWire(wire.result(), plain.result);
  plain.edits.reserve(static_cast<std::size_t>(wire.edits_size()));
  for (const auto& element : wire.edits()) {
    FromWire(element, plain.edits.emplace_back());
  }
  FromWire(wire.origin(), plain.origin);
}

std::string Encode(const RulesDeltaScript& plain) {
  wire::RulesDeltaScript wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesDeltaScript& plain) {
  wire::RulesDeltaScript wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesDeltaScript& plain) {
  wire::RulesDeltaScript wire;
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

bool DecodeJson(std::string_view text, RulesDeltaScript& plain) {
  wire::RulesDeltaScript wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesVersion& plain, wire::RulesVersion& wire) {
  if (plain.stamp != VersionStamp{}) {
    ToWire(plain.stamp, *wire.mutable_stamp());
  }
  if (plain.parent != VersionStamp{}) {
    ToWire(plain.parent, *wire.mutable_parent());
  }
  wire.set_submission_id(plain.submission_id);
  wire.set_operator_name(plain.operator_name);
  wire.set_accepted_unix_ms(plain.accepted_unix_ms);
  wire.set_text(plain.text);
}

void FromWire(const wire::RulesVersion& wire, RulesVersion& plain) {
  FromWire(wire.stamp(), plain.stamp);
  FromWire(wire.parent(), plain.parent);
  plain.submission_id = wire.submission_id();
  plain.operator_name = wire.operator_name();
  plain.accepted_unix_ms = wire.accepted_unix_ms();
  plain.text = wire.text();
}

std::string Encode(const RulesVersion& plain) {
  wire::RulesVersion wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesVersion& plain) {
  wire::RulesVersion wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesVersion& plain) {
  wire::RulesVersion wire;
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

bool DecodeJson(std::string_view text, RulesVersion& plain) {
  wire::RulesVersion wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const SubmissionRecord& plain, wire::SubmissionRecord& wire) {
  wire.set_submission_id(plain.submission_id);
  wire.set_number(plain.number);
}

void FromWire(const wire::SubmissionRecord& wire, SubmissionRecord& plain) {
  plain.submission_id = wire.submission_id();
  plain.number = wire.number();
}

std::string Encode(const SubmissionRecord& plain) {
  wire::SubmissionRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, SubmissionRecord& plain) {
  wire::SubmissionRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const SubmissionRecord& plain) {
  wire::SubmissionRecord wire;
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

bool DecodeJson(std::string_view text, SubmissionRecord& plain) {
  wire::SubmissionRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RulesHead& plain, wire::RulesHead& wire) {
  if (plain.stamp != VersionStamp{}) {
    ToWire(plain.stamp, *wire.mutable_stamp());
  }
  if (plain.parent != VersionStamp{}) {
    ToWire(plain.parent, *wire.mutable_parent());
  }
  wire.set_submission_id(plain.submission_id);
  wire.set_operator_name(plain.operator_name);
  wire.set_accepted_unix_ms(plain.accepted_unix_ms);
  if (plain.delta.has_value()) {
    ToWire(*plain.delta, *wire.mutable_delta());
  }
  for (const auto& element : plain.recent_submissions) {
    ToWire(element, *wire.add_recent_submissions());
  }
}

void FromWire(const wire::RulesHead& wire, RulesHead& plain) {
  FromWire(wire.stamp(), plain.stamp);
  FromWire(wire.parent(), plain.parent);
  plain.submission_id = wire.submission_id();
  plain.operator_name = wire.operator_name();
  plain.accepted_unix_ms = wire.accepted_unix_ms();
  if (wire.has_delta()) {
    FromWire(wire.delta(), plain.delta.emplace());
  }
  plain.recent_submissions.reserve(static_cast<std::size_t>(wire.recent_submissions_size()));
  for (const auto& element : wire.recent_submissions()) {
    FromWire(element, plain.recent_submissions.emplace_back());
  }
}

std::string Encode(const RulesHead& plain) {
  wire::RulesHead wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RulesHead& plain) {
  wire::RulesHead wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RulesHead& plain) {
  wire::RulesHead wire;
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

bool DecodeJson(std::string_view text, RulesHead& plain) {
  wire::RulesHead wire;
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
