// Generated from Source/Schema/membership.proto by Utilities/SchemaGenerator. Do not edit.
#include "membership_codec.h"

#include <google/protobuf/util/json_util.h>

#include "membership.pb.h"
#include "rules_codec.h"

namespace lacewingbridge {

void ToWire(const TargetRecord& plain, wire::TargetRecord& wire) {
  wire.set_service(plain.service);
  wire.set_address(plain.address);
  wire.set_slots(plain.slots);
  wire.set_draining(plain.draining);
  wire.set_reported_load_permille(plain.reported_load_permille);
  wire.set_incarnation(plain.incarnation);
}

void FromWire(const wire::TargetRecord& wire, TargetRecord& plain) {
  plain.service = wire.service();
  plain.address = wire.address();
  plain.slots = wire.slots();
  plain.draining = wire.draining();
  plain.reported_load_permille = wire.reported_load_permille();
  plain.incarnation = wire.incarnation();
}

std::string Encode(const TargetRecord& plain) {
  wire::TargetRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, TargetRecord& plain) {
  wire::TargetRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const TargetRecord& plain) {
  wire::TargetRecord wire;
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

bool DecodeJson(std::string_view text, TargetRecord& plain) {
  wire::TargetRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MemberRecord& plain, wire::MemberRecord& wire) {
  wire.set_host(plain.host);
  wire.set_region(plain.region);
  wire.set_data_centre(plain.data_centre);
  wire.set_control_address(plain.control_address);
  wire.set_incarnation(plain.incarnation);
  wire.set_sequence(plain.sequence);
  wire.set_state(static_cast<wire::MemberState>(plain.state));
  for (const auto& element : plain.targets) {
    ToWire(element, *wire.add_targets());
  }
}

void FromWire(const wire::MemberRecord& wire, MemberRecord& plain) {
  plain.host = wire.host();
  plain.region = wire.region();
  plain.data_centre = wire.data_centre();
  plain.control_address = wire.control_address();
  plain.incarnation = wire.incarnation();
  plain.sequence = wire.sequence();
  plain.state = static_cast<MemberState>(wire.state());
  plain.targets.reserve(static_cast<std::size_t>(wire.targets_size()));
  for (const auto& element : wire.targets()) {
    FromWire(element, plain.targets.emplace_back());
  }
}

std::string Encode(const MemberRecord& plain) {
  wire::MemberRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MemberRecord& plain) {
  wire::MemberRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MemberRecord& plain) {
  wire::MemberRecord wire;
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

bool DecodeJson(std::string_view text, MemberRecord& plain) {
  wire::MemberRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const QuarantineEvidence& plain, wire::QuarantineEvidence& wire) {
  wire.set_fingerprint(plain.fingerprint);
  wire.set_target_address(plain.target_address);
  wire.set_target_incarnation(plain.target_incarnation);
  wire.set_target_responded(plain.target_responded);
  wire.set_age_ms(plain.age_ms);
}

void FromWire(const wire::QuarantineEvidence& wire, QuarantineEvidence& plain) {
  plain.fingerprint = wire.fingerprint();
  plain.target_address = wire.target_address();
  plain.target_incarnation = wire.target_incarnation();
  plain.target_responded = wire.target_responded();
  plain.age_ms = wire.age_ms();
}

std::string Encode(const QuarantineEvidence& plain) {
  wire::QuarantineEvidence wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, QuarantineEvidence& plain) {
  wire::QuarantineEvidence wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const QuarantineEvidence& plain) {
  wire::QuarantineEvidence wire;
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

bool DecodeJson(std::string_view text, QuarantineEvidence& plain) {
  wire::QuarantineEvidence wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const DataCentreProgress& plain, wire::DataCentreProgress& wire) {
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  if (plain.lowest != VersionStamp{}) {
    ToWire(plain.lowest, *wire.mutable_lowest());
  }
  wire.set_member_count(plain.member_count);
  wire.set_lagging_count(plain.lagging_count);
  wire.set_lagging_ms(plain.lagging_ms);
  wire.set_age_ms(plain.age_ms);
}

void FromWire(const wire::DataCentreProgress& wire, DataCentreProgress& plain) {
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  FromWire(wire.lowest(), plain.lowest);
  plain.member_count = wire.member_count();
  plain.lagging_count = wire.lagging_count();
  plain.lagging_ms = wire.lagging_ms();
  plain.age_ms = wire.age_ms();
}

std::string Encode(const DataCentreProgress& plain) {
  wire::DataCentreProgress wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, DataCentreProgress& plain) {
  wire::DataCentreProgress wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const DataCentreProgress& plain) {
  wire::DataCentreProgress wire;
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

bool DecodeJson(std::string_view text, DataCentreProgress& plain) {
  wire::DataCentreProgress wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const MemberSuspicion& plain, wire::MemberSuspicion& wire) {
  wire.set_host(plain.host);
  wire.set_incarnation(plain.incarnation);
  wire.set_sequence(plain.sequence);
}

void FromWire(const wire::MemberSuspicion& wire, MemberSuspicion& plain) {
  plain.host = wire.host();
  plain.incarnation = wire.incarnation();
  plain.sequence = wire.sequence();
}

std::string Encode(const MemberSuspicion& plain) {
  wire::MemberSuspicion wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, MemberSuspicion& plain) {
  wire::MemberSuspicion wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const MemberSuspicion& plain) {
  wire::MemberSuspicion wire;
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

bool DecodeJson(std::string_view text, MemberSuspicion& plain) {
  wire::MemberSuspicion wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const GossipDatagram& plain, wire::GossipDatagram& wire) {
  wire.set_kind(static_cast<wire::GossipKind>(plain.kind));
  wire.set_sender_host(plain.sender_host);
  wire.set_sender_incarnation(plain.sender_incarnation);
  wire.set_probe_id(plain.probe_id);
  wire.set_subject_host(plain.subject_host);
  wire.set_subject_control_address(plain.subject_control_address);
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  for (const auto& element : plain.progress) {
    ToWire(element, *wire.add_progress());
  }
  for (const auto& element : plain.members) {
    ToWire(element, *wire.add_members());
  }
  for (const auto& element : plain.strikes) {
    ToWire(element, *wire.add_strikes());
  }
  if (plain.delta.has_value()) {
    ToWire(*plain.delta, *wire.mutable_delta());
  }
  for (const auto& element : plain.suspicions) {
    ToWire(element, *wire.add_suspicions());
  }
  wire.set_claim_epoch(plain.claim_epoch);
  wire.set_members_hash(plain.members_hash);
}

void FromWire(const wire::GossipDatagram& wire, GossipDatagram& plain) {
  plain.kind = static_cast<GossipKind>(wire.kind());
  plain.sender_host = wire.sender_host();
  plain.sender_incarnation = wire.sender_incarnation();
  plain.probe_id = wire.probe_id();
  plain.subject_host = wire.subject_host();
  plain.subject_control_address = wire.subject_control_address();
  FromWire(wire.held(), plain.held);
  plain.progress.reserve(static_cast<std::size_t>(wire.progress_size()));
  for (const auto& element : wire.progress()) {
    FromWire(element, plain.progress.emplace_back());
  }
  plain.members.reserve(static_cast<std::size_t>(wire.members_size()));
  for (const auto& element : wire.members()) {
    FromWire(element, plain.members.emplace_back());
  }
  plain.strikes.reserve(static_cast<std::size_t>(wire.strikes_size()));
  for (const auto& element : wire.strikes()) {
    FromWire(element, plain.strikes.emplace_back());
  }
  if (wire.has_delta()) {
    FromWire(wire.delta(), plain.delta.emplace());
  }
  plain.suspicions.reserve(static_cast<std::size_t>(wire.suspicions_size()));
  for (const auto& element : wire.suspicions()) {
    FromWire(element, plain.suspicions.emplace_back());
  }
  plain.claim_epoch = wire.claim_epoch();
  plain.members_hash = wire.members_hash();
}

std::string Encode(const GossipDatagram& plain) {
  wire::GossipDatagram wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, GossipDatagram& plain) {
  wire::GossipDatagram wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const GossipDatagram& plain) {
  wire::GossipDatagram wire;
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

bool DecodeJson(std::string_view text, GossipDatagram& plain) {
  wire::GossipDatagram wire;
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
