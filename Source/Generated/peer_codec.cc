// Generated from Source/Schema/peer.proto by Utilities/SchemaGenerator. Do not edit.
#include "peer_codec.h"

#include <google/protobuf/util/json_util.h>

#include "peer.pb.h"
#include "membership_codec.h"
#include "rules_codec.h"

namespace lacewingbridge {

void ToWire(const FetchRulesRequest& plain, wire::FetchRulesRequest& wire) {
  if (plain.have != VersionStamp{}) {
    ToWire(plain.have, *wire.mutable_have());
  }
}

void FromWire(const wire::FetchRulesRequest& wire, FetchRulesRequest& plain) {
  FromWire(wire.have(), plain.have);
}

std::string Encode(const FetchRulesRequest& plain) {
  wire::FetchRulesRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, FetchRulesRequest& plain) {
  wire::FetchRulesRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const FetchRulesRequest& plain) {
  wire::FetchRulesRequest wire;
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

bool DecodeJson(std::string_view text, FetchRulesRequest& plain) {
  wire::FetchRulesRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const FetchRulesReply& plain, wire::FetchRulesReply& wire) {
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  if (plain.delta.has_value()) {
    ToWire(*plain.delta, *wire.mutable_delta());
  }
  if (plain.whole.has_value()) {
    ToWire(*plain.whole, *wire.mutable_whole());
  }
}

void FromWire(const wire::FetchRulesReply& wire, FetchRulesReply& plain) {
  FromWire(wire.held(), plain.held);
  if (wire.has_delta()) {
    FromWire(wire.delta(), plain.delta.emplace());
  }
  if (wire.has_whole()) {
    FromWire(wire.whole(), plain.whole.emplace());
  }
}

std::string Encode(const FetchRulesReply& plain) {
  wire::FetchRulesReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, FetchRulesReply& plain) {
  wire::FetchRulesReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const FetchRulesReply& plain) {
  wire::FetchRulesReply wire;
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

bool DecodeJson(std::string_view text, FetchRulesReply& plain) {
  wire::FetchRulesReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ListMembersRequest& plain, wire::ListMembersRequest& wire) {
  if (plain.self != MemberRecord{}) {
    ToWire(plain.self, *wire.mutable_self());
  }
}

void FromWire(const wire::ListMembersRequest& wire, ListMembersRequest& plain) {
  FromWire(wire.self(), plain.self);
}

std::string Encode(const ListMembersRequest& plain) {
  wire::ListMembersRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ListMembersRequest& plain) {
  wire::ListMembersRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ListMembersRequest& plain) {
  wire::ListMembersRequest wire;
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

bool DecodeJson(std::string_view text, ListMembersRequest& plain) {
  wire::ListMembersRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ListMembersReply& plain, wire::ListMembersReply& wire) {
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  for (const auto& element : plain.members) {
    ToWire(element, *wire.add_members());
  }
  wire.set_claim_epoch(plain.claim_epoch);
}

void FromWire(const wire::ListMembersReply& wire, ListMembersReply& plain) {
  FromWire(wire.held(), plain.held);
  plain.members.reserve(static_cast<std::size_t>(wire.members_size()));
  for (const auto& element : wire.members()) {
    FromWire(element, plain.members.emplace_back());
  }
  plain.claim_epoch = wire.claim_epoch();
}

std::string Encode(const ListMembersReply& plain) {
  wire::ListMembersReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ListMembersReply& plain) {
  wire::ListMembersReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ListMembersReply& plain) {
  wire::ListMembersReply wire;
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

bool DecodeJson(std::string_view text, ListMembersReply& plain) {
  wire::ListMembersReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const DataCentreDigest& plain, wire::DataCentreDigest& wire) {
  wire.set_data_centre(plain.data_centre);
  wire.set_members_hash(plain.members_hash);
  for (const auto& element : plain.bucket_hashes) {
    wire.add_bucket_hashes(element);
  }
}

void FromWire(const wire::DataCentreDigest& wire, DataCentreDigest& plain) {
  plain.data_centre = wire.data_centre();
  plain.members_hash = wire.members_hash();
  plain.bucket_hashes.reserve(static_cast<std::size_t>(wire.bucket_hashes_size()));
  for (const auto& element : wire.bucket_hashes()) {
    plain.bucket_hashes.push_back(element);
  }
}

std::string Encode(const DataCentreDigest& plain) {
  wire::DataCentreDigest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, DataCentreDigest& plain) {
  wire::DataCentreDigest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const DataCentreDigest& plain) {
  wire::DataCentreDigest wire;
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

bool DecodeJson(std::string_view text, DataCentreDigest& plain) {
  wire::DataCentreDigest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RelayExchangeRequest& plain, wire::RelayExchangeRequest& wire) {
  for (const auto& element : plain.strikes) {
    ToWire(element, *wire.add_strikes());
  }
  wire.set_data_centre(plain.data_centre);
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  for (const auto& element : plain.digests) {
    ToWire(element, *wire.add_digests());
  }
  for (const auto& element : plain.progress) {
    ToWire(element, *wire.add_progress());
  }
  for (const auto& element : plain.members) {
    ToWire(element, *wire.add_members());
  }
}

void FromWire(const wire::RelayExchangeRequest& wire, RelayExchangeRequest& plain) {
  plain.strikes.reserve(static_cast<std::size_t>(wire.strikes_size()));
  for (const auto& element : wire.strikes()) {
    FromWire(element, plain.strikes.emplace_back());
  }
  plain.data_centre = wire.data_centre();
  FromWire(wire.held(), plain.held);
  plain.digests.reserve(static_cast<std::size_t>(wire.digests_size()));
  for (const auto& element : wire.digests()) {
    FromWire(element, plain.digests.emplace_back());
  }
  plain.progress.reserve(static_cast<std::size_t>(wire.progress_size()));
  for (const auto& element : wire.progress()) {
    FromWire(element, plain.progress.emplace_back());
  }
  plain.members.reserve(static_cast<std::size_t>(wire.members_size()));
  for (const auto& element : wire.members()) {
    FromWire(element, plain.members.emplace_back());
  }
}

std::string Encode(const RelayExchangeRequest& plain) {
  wire::RelayExchangeRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RelayExchangeRequest& plain) {
  wire::RelayExchangeRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RelayExchangeRequest& plain) {
  wire::RelayExchangeRequest wire;
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

bool DecodeJson(std::string_view text, RelayExchangeRequest& plain) {
  wire::RelayExchangeRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const RelayExchangeReply& plain, wire::RelayExchangeReply& wire) {
  wire.set_claim_epoch(plain.claim_epoch);
  for (const auto& element : plain.strikes) {
    ToWire(element, *wire.add_strikes());
  }
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  for (const auto& element : plain.digests) {
    ToWire(element, *wire.add_digests());
  }
  for (const auto& element : plain.progress) {
    ToWire(element, *wire.add_progress());
  }
  for (const auto& element : plain.members) {
    ToWire(element, *wire.add_members());
  }
}

void FromWire(const wire::RelayExchangeReply& wire, RelayExchangeReply& plain) {
  plain.claim_epoch = wire.claim_epoch();
  plain.strikes.reserve(static_cast<std::size_t>(wire.strikes_size()));
  for (const auto& element : wire.strikes()) {
    FromWire(element, plain.strikes.emplace_back());
  }
  FromWire(wire.held(), plain.held);
  plain.digests.reserve(static_cast<std::size_t>(wire.digests_size()));
  for (const auto& element : wire.digests()) {
    FromWire(element, plain.digests.emplace_back());
  }
  plain.progress.reserve(static_cast<std::size_t>(wire.progress_size()));
  for (const auto& element : wire.progress()) {
    FromWire(element, plain.progress.emplace_back());
  }
  plain.members.reserve(static_cast<std::size_t>(wire.members_size()));
  for (const auto& element : wire.members()) {
    FromWire(element, plain.members.emplace_back());
  }
}

std::string Encode(const RelayExchangeReply& plain) {
  wire::RelayExchangeReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, RelayExchangeReply& plain) {
  wire::RelayExchangeReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const RelayExchangeReply& plain) {
  wire::RelayExchangeReply wire;
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

bool DecodeJson(std::string_view text, RelayExchangeReply& plain) {
  wire::RelayExchangeReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimOwnerMapRequest& plain, wire::ClaimOwnerMapRequest& wire) {
  wire.set_have_epoch(plain.have_epoch);
}

void FromWire(const wire::ClaimOwnerMapRequest& wire, ClaimOwnerMapRequest& plain) {
  plain.have_epoch = wire.have_epoch();
}

std::string Encode(const ClaimOwnerMapRequest& plain) {
  wire::ClaimOwnerMapRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimOwnerMapRequest& plain) {
  wire::ClaimOwnerMapRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimOwnerMapRequest& plain) {
  wire::ClaimOwnerMapRequest wire;
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

bool DecodeJson(std::string_view text, ClaimOwnerMapRequest& plain) {
  wire::ClaimOwnerMapRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimOwnerMap& plain, wire::ClaimOwnerMap& wire) {
  wire.set_epoch(plain.epoch);
  for (const auto& element : plain.hosts) {
    wire.add_hosts(element);
  }
  for (const auto& element : plain.incarnations) {
    wire.add_incarnations(element);
  }
  wire.set_created_unix_ms(plain.created_unix_ms);
}

void FromWire(const wire::ClaimOwnerMap& wire, ClaimOwnerMap& plain) {
  plain.epoch = wire.epoch();
  plain.hosts.reserve(static_cast<std::size_t>(wire.hosts_size()));
  for (const auto& element : wire.hosts()) {
    plain.hosts.push_back(element);
  }
  plain.incarnations.reserve(static_cast<std::size_t>(wire.incarnations_size()));
  for (const auto& element : wire.incarnations()) {
    plain.incarnations.push_back(element);
  }
  plain.created_unix_ms = wire.created_unix_ms();
}

std::string Encode(const ClaimOwnerMap& plain) {
  wire::ClaimOwnerMap wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimOwnerMap& plain) {
  wire::ClaimOwnerMap wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimOwnerMap& plain) {
  wire::ClaimOwnerMap wire;
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

bool DecodeJson(std::string_view text, ClaimOwnerMap& plain) {
  wire::ClaimOwnerMap wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimRecord& plain, wire::ClaimRecord& wire) {
  wire.set_key(plain.key);
  wire.set_request_hash(plain.request_hash);
  wire.set_state(static_cast<wire::ClaimState>(plain.state));
  wire.set_status_code(plain.status_code);
  wire.set_answer(plain.answer);
  wire.set_answer_kept(plain.answer_kept);
  wire.set_age_ms(plain.age_ms);
  wire.set_content_type(plain.content_type);
  wire.set_attempt_id(plain.attempt_id);
  wire.set_caller_host(plain.caller_host);
  wire.set_caller_incarnation(plain.caller_incarnation);
  wire.set_workspace(plain.workspace);
}

void FromWire(const wire::ClaimRecord& wire, ClaimRecord& plain) {
  plain.key = wire.key();
  plain.request_hash = wire.request_hash();
  plain.state = static_cast<ClaimState>(wire.state());
  plain.status_code = wire.status_code();
  plain.answer = wire.answer();
  plain.answer_kept = wire.answer_kept();
  plain.age_ms = wire.age_ms();
  plain.content_type = wire.content_type();
  plain.attempt_id = wire.attempt_id();
  plain.caller_host = wire.caller_host();
  plain.caller_incarnation = wire.caller_incarnation();
  plain.workspace = wire.workspace();
}

std::string Encode(const ClaimRecord& plain) {
  wire::ClaimRecord wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimRecord& plain) {
  wire::ClaimRecord wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimRecord& plain) {
  wire::ClaimRecord wire;
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

bool DecodeJson(std::string_view text, ClaimRecord& plain) {
  wire::ClaimRecord wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimRequest& plain, wire::ClaimRequest& wire) {
  wire.set_key(plain.key);
  wire.set_request_hash(plain.request_hash);
  wire.set_owner_map_epoch(plain.owner_map_epoch);
  wire.set_attempt_id(plain.attempt_id);
  wire.set_caller_host(plain.caller_host);
  wire.set_caller_incarnation(plain.caller_incarnation);
  wire.set_workspace(plain.workspace);
}

void FromWire(const wire::ClaimRequest& wire, ClaimRequest& plain) {
  plain.key = wire.key();
  plain.request_hash = wire.request_hash();
  plain.owner_map_epoch = wire.owner_map_epoch();
  plain.attempt_id = wire.attempt_id();
  plain.caller_host = wire.caller_host();
  plain.caller_incarnation = wire.caller_incarnation();
  plain.workspace = wire.workspace();
}

std::string Encode(const ClaimRequest& plain) {
  wire::ClaimRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimRequest& plain) {
  wire::ClaimRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimRequest& plain) {
  wire::ClaimRequest wire;
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

bool DecodeJson(std::string_view text, ClaimRequest& plain) {
  wire::ClaimRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimReply& plain, wire::ClaimReply& wire) {
  wire.set_decision(static_cast<wire::ClaimDecision>(plain.decision));
  if (plain.record != ClaimRecord{}) {
    ToWire(plain.record, *wire.mutable_record());
  }
  wire.set_owner_map_epoch(plain.owner_map_epoch);
}

void FromWire(const wire::ClaimReply& wire, ClaimReply& plain) {
  plain.decision = static_cast<ClaimDecision>(wire.decision());
  FromWire(wire.record(), plain.record);
  plain.owner_map_epoch = wire.owner_map_epoch();
}

std::string Encode(const ClaimReply& plain) {
  wire::ClaimReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimReply& plain) {
  wire::ClaimReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimReply& plain) {
  wire::ClaimReply wire;
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

bool DecodeJson(std::string_view text, ClaimReply& plain) {
  wire::ClaimReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimDoneRequest& plain, wire::ClaimDoneRequest& wire) {
  wire.set_key(plain.key);
  wire.set_attempt_id(plain.attempt_id);
  wire.set_outcome(static_cast<wire::ClaimOutcome>(plain.outcome));
  wire.set_status_code(plain.status_code);
  wire.set_answer(plain.answer);
  wire.set_content_type(plain.content_type);
}

void FromWire(const wire::ClaimDoneRequest& wire, ClaimDoneRequest& plain) {
  plain.key = wire.key();
  plain.attempt_id = wire.attempt_id();
  plain.outcome = static_cast<ClaimOutcome>(wire.outcome());
  plain.status_code = wire.status_code();
  plain.answer = wire.answer();
  plain.content_type = wire.content_type();
}

std::string Encode(const ClaimDoneRequest& plain) {
  wire::ClaimDoneRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimDoneRequest& plain) {
  wire::ClaimDoneRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimDoneRequest& plain) {
  wire::ClaimDoneRequest wire;
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

bool DecodeJson(std::string_view text, ClaimDoneRequest& plain) {
  wire::ClaimDoneRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimDoneReply& plain, wire::ClaimDoneReply& wire) {
  wire.set_recorded(plain.recorded);
}

void FromWire(const wire::ClaimDoneReply& wire, ClaimDoneReply& plain) {
  plain.recorded = wire.recorded();
}

std::string Encode(const ClaimDoneReply& plain) {
  wire::ClaimDoneReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimDoneReply& plain) {
  wire::ClaimDoneReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimDoneReply& plain) {
  wire::ClaimDoneReply wire;
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

bool DecodeJson(std::string_view text, ClaimDoneReply& plain) {
  wire::ClaimDoneReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimTransferRequest& plain, wire::ClaimTransferRequest& wire) {
  wire.set_owner_map_epoch(plain.owner_map_epoch);
  wire.set_from_host(plain.from_host);
  for (const auto& element : plain.claims) {
    ToWire(element, *wire.add_claims());
  }
  wire.set_complete(plain.complete);
  wire.set_change_epoch(plain.change_epoch);
  wire.set_part(plain.part);
}

void FromWire(const wire::ClaimTransferRequest& wire, ClaimTransferRequest& plain) {
  plain.owner_map_epoch = wire.owner_map_epoch();
  plain.from_host = wire.from_host();
  plain.claims.reserve(static_cast<std::size_t>(wire.claims_size()));
  for (const auto& element : wire.claims()) {
    FromWire(element, plain.claims.emplace_back());
  }
  plain.complete = wire.complete();
  plain.change_epoch = wire.change_epoch();
  plain.part = wire.part();
}

std::string Encode(const ClaimTransferRequest& plain) {
  wire::ClaimTransferRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimTransferRequest& plain) {
  wire::ClaimTransferRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimTransferRequest& plain) {
  wire::ClaimTransferRequest wire;
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

bool DecodeJson(std::string_view text, ClaimTransferRequest& plain) {
  wire::ClaimTransferRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ClaimTransferReply& plain, wire::ClaimTransferReply& wire) {
  wire.set_accepted(plain.accepted);
  wire.set_owner_map_epoch(plain.owner_map_epoch);
  wire.set_next_part(plain.next_part);
}

void FromWire(const wire::ClaimTransferReply& wire, ClaimTransferReply& plain) {
  plain.accepted = wire.accepted();
  plain.owner_map_epoch = wire.owner_map_epoch();
  plain.next_part = wire.next_part();
}

std::string Encode(const ClaimTransferReply& plain) {
  wire::ClaimTransferReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ClaimTransferReply& plain) {
  wire::ClaimTransferReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ClaimTransferReply& plain) {
  wire::ClaimTransferReply wire;
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

bool DecodeJson(std::string_view text, ClaimTransferReply& plain) {
  wire::ClaimTransferReply wire;
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
