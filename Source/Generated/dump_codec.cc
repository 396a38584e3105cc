// Generated from Source/Schema/dump.proto by Utilities/SchemaGenerator. Do not edit.
#include "dump_codec.h"

#include <google/protobuf/util/json_util.h>

#include "dump.pb.h"
#include "membership_codec.h"
#include "rules_codec.h"

namespace lacewingbridge {

void ToWire(const TargetDump& plain, wire::TargetDump& wire) {
  wire.set_address(plain.address);
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_slots(plain.slots);
  wire.set_in_flight(plain.in_flight);
  wire.set_draining(plain.draining);
  wire.set_ejected(plain.ejected);
  wire.set_requests(plain.requests);
  wire.set_failures(plain.failures);
}

void FromWire(const wire::TargetDump& wire, TargetDump& plain) {
  plain.address = wire.address();
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.slots = wire.slots();
  plain.in_flight = wire.in_flight();
  plain.draining = wire.draining();
  plain.ejected = wire.ejected();
  plain.requests = wire.requests();
  plain.failures = wire.failures();
}

std::string Encode(const TargetDump& plain) {
  wire::TargetDump wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, TargetDump& plain) {
  wire::TargetDump wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const TargetDump& plain) {
  wire::TargetDump wire;
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

bool DecodeJson(std::string_view text, TargetDump& plain) {
  wire::TargetDump wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const ServiceDump& plain, wire::ServiceDump& wire) {
  wire.set_name(plain.name);
  for (const auto& element : plain.routes) {
    wire.add_routes(element);
  }
  for (const auto& element : plain.targets) {
    ToWire(element, *wire.add_targets());
  }
  wire.set_queued(plain.queued);
}

void FromWire(const wire::ServiceDump& wire, ServiceDump& plain) {
  plain.name = wire.name();
  plain.routes.reserve(static_cast<std::size_t>(wire.routes_size()));
  for (const auto& element : wire.routes()) {
    plain.routes.push_back(element);
  }
  plain.targets.reserve(static_cast<std::size_t>(wire.targets_size()));
  for (const auto& element : wire.targets()) {
    FromWire(element, plain.targets.emplace_back());
  }
  plain.queued = wire.queued();
}

std::string Encode(const ServiceDump& plain) {
  wire::ServiceDump wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, ServiceDump& plain) {
  wire::ServiceDump wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const ServiceDump& plain) {
  wire::ServiceDump wire;
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

bool DecodeJson(std::string_view text, ServiceDump& plain) {
  wire::ServiceDump wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const DisplacedVersion& plain, wire::DisplacedVersion& wire) {
  if (plain.stamp != VersionStamp{}) {
    ToWire(plain.stamp, *wire.mutable_stamp());
  }
  wire.set_operator_name(plain.operator_name);
}

void FromWire(const wire::DisplacedVersion& wire, DisplacedVersion& plain) {
  FromWire(wire.stamp(), plain.stamp);
  plain.operator_name = wire.operator_name();
}

std::string Encode(const DisplacedVersion& plain) {
  wire::DisplacedVersion wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, DisplacedVersion& plain) {
  wire::DisplacedVersion wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const DisplacedVersion& plain) {
  wire::DisplacedVersion wire;
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

bool DecodeJson(std::string_view text, DisplacedVersion& plain) {
  wire::DisplacedVersion wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StateDump& plain, wire::StateDump& wire) {
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  wire.set_incarnation(plain.incarnation);
  if (plain.held != VersionStamp{}) {
    ToWire(plain.held, *wire.mutable_held());
  }
  wire.set_held_operator(plain.held_operator);
  wire.set_watch_scope(plain.watch_scope);
  wire.set_watching(plain.watching);
  wire.set_store_reachable(plain.store_reachable);
  wire.set_view_distrusted(plain.view_distrusted);
  wire.set_draining(plain.draining);
  wire.set_requests_in_flight(plain.requests_in_flight);
  for (const auto& element : plain.members) {
    ToWire(element, *wire.add_members());
  }
  for (const auto& element : plain.services) {
    ToWire(element, *wire.add_services());
  }
  for (const auto& element : plain.progress) {
    ToWire(element, *wire.add_progress());
  }
  wire.set_claim_epoch(plain.claim_epoch);
  wire.set_claims_held(plain.claims_held);
  wire.set_quarantine_entries(plain.quarantine_entries);
  for (const auto& element : plain.displaced) {
    ToWire(element, *wire.add_displaced());
  }
}

void FromWire(const wire::StateDump& wire, StateDump& plain) {
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  plain.incarnation = wire.incarnation();
  FromWire(wire.held(), plain.held);
  plain.held_operator = wire.held_operator();
  plain.watch_scope = wire.watch_scope();
  plain.watching = wire.watching();
  plain.store_reachable = wire.store_reachable();
  plain.view_distrusted = wire.view_distrusted();
  plain.draining = wire.draining();
  plain.requests_in_flight = wire.requests_in_flight();
  plain.members.reserve(static_cast<std::size_t>(wire.members_size()));
  for (const auto& element : wire.members()) {
    FromWire(element, plain.members.emplace_back());
  }
  plain.services.reserve(static_cast<std::size_t>(wire.services_size()));
  for (const auto& element : wire.services()) {
    FromWire(element, plain.services.emplace_back());
  }
  plain.progress.reserve(static_cast<std::size_t>(wire.progress_size()));
  for (const auto& element : wire.progress()) {
    FromWire(element, plain.progress.emplace_back());
  }
  plain.claim_epoch = wire.claim_epoch();
  plain.claims_held = wire.claims_held();
  plain.quarantine_entries = wire.quarantine_entries();
  plain.displaced.reserve(static_cast<std::size_t>(wire.displaced_size()));
  for (const auto& element : wire.displaced()) {
    FromWire(element, plain.displaced.emplace_back());
  }
}

std::string Encode(const StateDump& plain) {
  wire::StateDump wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StateDump& plain) {
  wire::StateDump wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StateDump& plain) {
  wire::StateDump wire;
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

bool DecodeJson(std::string_view text, StateDump& plain) {
  wire::StateDump wire;
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
