// Generated from Source/Schema/store.proto by Utilities/SchemaGenerator. Do not edit.
#include "store_codec.h"

#include <google/protobuf/util/json_util.h>

#include "store.pb.h"

namespace lacewingbridge {

void ToWire(const StoreEntry& plain, wire::StoreEntry& wire) {
  wire.set_value(plain.value);
  wire.set_revision(plain.revision);
}

void FromWire(const wire::StoreEntry& wire, StoreEntry& plain) {
  plain.value = wire.value();
  plain.revision = wire.revision();
}

std::string Encode(const StoreEntry& plain) {
  wire::StoreEntry wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreEntry& plain) {
  wire::StoreEntry wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreEntry& plain) {
  wire::StoreEntry wire;
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

bool DecodeJson(std::string_view text, StoreEntry& plain) {
  wire::StoreEntry wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreGetRequest& plain, wire::StoreGetRequest& wire) {
  wire.set_key(plain.key);
}

void FromWire(const wire::StoreGetRequest& wire, StoreGetRequest& plain) {
  plain.key = wire.key();
}

std::string Encode(const StoreGetRequest& plain) {
  wire::StoreGetRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreGetRequest& plain) {
  wire::StoreGetRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreGetRequest& plain) {
  wire::StoreGetRequest wire;
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

bool DecodeJson(std::string_view text, StoreGetRequest& plain) {
  wire::StoreGetRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreGetReply& plain, wire::StoreGetReply& wire) {
  if (plain.entry != StoreEntry{}) {
    ToWire(plain.entry, *wire.mutable_entry());
  }
}

void FromWire(const wire::StoreGetReply& wire, StoreGetReply& plain) {
  FromWire(wire.entry(), plain.entry);
}

std::string Encode(const StoreGetReply& plain) {
  wire::StoreGetReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreGetReply& plain) {
  wire::StoreGetReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreGetReply& plain) {
  wire::StoreGetReply wire;
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

bool DecodeJson(std::string_view text, StoreGetReply& plain) {
  wire::StoreGetReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreSwapRequest& plain, wire::StoreSwapRequest& wire) {
  wire.set_key(plain.key);
  wire.set_value(plain.value);
  wire.set_expected_revision(plain.expected_revision);
  wire.set_lease_id(plain.lease_id);
}

void FromWire(const wire::StoreSwapRequest& wire, StoreSwapRequest& plain) {
  plain.key = wire.key();
  plain.value = wire.value();
  plain.expected_revision = wire.expected_revision();
  plain.lease_id = wire.lease_id();
}

std::string Encode(const StoreSwapRequest& plain) {
  wire::StoreSwapRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreSwapRequest& plain) {
  wire::StoreSwapRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreSwapRequest& plain) {
  wire::StoreSwapRequest wire;
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

bool DecodeJson(std::string_view text, StoreSwapRequest& plain) {
  wire::StoreSwapRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreSwapReply& plain, wire::StoreSwapReply& wire) {
  wire.set_succeeded(plain.succeeded);
  if (plain.entry != StoreEntry{}) {
    ToWire(plain.entry, *wire.mutable_entry());
  }
}

void FromWire(const wire::StoreSwapReply& wire, StoreSwapReply& plain) {
  plain.succeeded = wire.succeeded();
  FromWire(wire.entry(), plain.entry);
}

std::string Encode(const StoreSwapReply& plain) {
  wire::StoreSwapReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreSwapReply& plain) {
  wire::StoreSwapReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreSwapReply& plain) {
  wire::StoreSwapReply wire;
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

bool DecodeJson(std::string_view text, StoreSwapReply& plain) {
  wire::StoreSwapReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreLeaseRequest& plain, wire::StoreLeaseRequest& wire) {
  wire.set_lease_id(plain.lease_id);
  wire.set_duration_ms(plain.duration_ms);
}

void FromWire(const wire::StoreLeaseRequest& wire, StoreLeaseRequest& plain) {
  plain.lease_id = wire.lease_id();
  plain.duration_ms = wire.duration_ms();
}

std::string Encode(const StoreLeaseRequest& plain) {
  wire::StoreLeaseRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreLeaseRequest& plain) {
  wire::StoreLeaseRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreLeaseRequest& plain) {
  wire::StoreLeaseRequest wire;
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

bool DecodeJson(std::string_view text, StoreLeaseRequest& plain) {
  wire::StoreLeaseRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreLeaseReply& plain, wire::StoreLeaseReply& wire) {
  wire.set_granted(plain.granted);
  wire.set_lease_id(plain.lease_id);
}

void FromWire(const wire::StoreLeaseReply& wire, StoreLeaseReply& plain) {
  plain.granted = wire.granted();
  plain.lease_id = wire.lease_id();
}

std::string Encode(const StoreLeaseReply& plain) {
  wire::StoreLeaseReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreLeaseReply& plain) {
  wire::StoreLeaseReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreLeaseReply& plain) {
  wire::StoreLeaseReply wire;
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

bool DecodeJson(std::string_view text, StoreLeaseReply& plain) {
  wire::StoreLeaseReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreWatchRequest& plain, wire::StoreWatchRequest& wire) {
  wire.set_key(plain.key);
  wire.set_known_revision(plain.known_revision);
  wire.set_wait_ms(plain.wait_ms);
}

void FromWire(const wire::StoreWatchRequest& wire, StoreWatchRequest& plain) {
  plain.key = wire.key();
  plain.known_revision = wire.known_revision();
  plain.wait_ms = wire.wait_ms();
}

std::string Encode(const StoreWatchRequest& plain) {
  wire::StoreWatchRequest wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreWatchRequest& plain) {
  wire::StoreWatchRequest wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreWatchRequest& plain) {
  wire::StoreWatchRequest wire;
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

bool DecodeJson(std::string_view text, StoreWatchRequest& plain) {
  wire::StoreWatchRequest wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreWatchReply& plain, wire::StoreWatchReply& wire) {
  if (plain.entry != StoreEntry{}) {
    ToWire(plain.entry, *wire.mutable_entry());
  }
}

void FromWire(const wire::StoreWatchReply& wire, StoreWatchReply& plain) {
  FromWire(wire.entry(), plain.entry);
}

std::string Encode(const StoreWatchReply& plain) {
  wire::StoreWatchReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreWatchReply& plain) {
  wire::StoreWatchReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreWatchReply& plain) {
  wire::StoreWatchReply wire;
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

bool DecodeJson(std::string_view text, StoreWatchReply& plain) {
  wire::StoreWatchReply wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const WatchHolder& plain, wire::WatchHolder& wire) {
  wire.set_host(plain.host);
  wire.set_lease_id(plain.lease_id);
}

void FromWire(const wire::WatchHolder& wire, WatchHolder& plain) {
  plain.host = wire.host();
  plain.lease_id = wire.lease_id();
}

std::string Encode(const WatchHolder& plain) {
  wire::WatchHolder wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, WatchHolder& plain) {
  wire::WatchHolder wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const WatchHolder& plain) {
  wire::WatchHolder wire;
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

bool DecodeJson(std::string_view text, WatchHolder& plain) {
  wire::WatchHolder wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const SeedList& plain, wire::SeedList& wire) {
  for (const auto& element : plain.addresses) {
    wire.add_addresses(element);
  }
}

void FromWire(const wire::SeedList& wire, SeedList& plain) {
  plain.addresses.reserve(static_cast<std::size_t>(wire.addresses_size()));
  for (const auto& element : wire.addresses()) {
    plain.addresses.push_back(element);
  }
}

std::string Encode(const SeedList& plain) {
  wire::SeedList wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, SeedList& plain) {
  wire::SeedList wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const SeedList& plain) {
  wire::SeedList wire;
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

bool DecodeJson(std::string_view text, SeedList& plain) {
  wire::SeedList wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreCallCounts& plain, wire::StoreCallCounts& wire) {
  wire.set_gets(plain.gets);
  wire.set_swaps(plain.swaps);
  wire.set_leases(plain.leases);
  wire.set_watches(plain.watches);
}

void FromWire(const wire::StoreCallCounts& wire, StoreCallCounts& plain) {
  plain.gets = wire.gets();
  plain.swaps = wire.swaps();
  plain.leases = wire.leases();
  plain.watches = wire.watches();
}

std::string Encode(const StoreCallCounts& plain) {
  wire::StoreCallCounts wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreCallCounts& plain) {
  wire::StoreCallCounts wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreCallCounts& plain) {
  wire::StoreCallCounts wire;
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

bool DecodeJson(std::string_view text, StoreCallCounts& plain) {
  wire::StoreCallCounts wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const StoreFaults& plain, wire::StoreFaults& wire) {
  wire.set_down(plain.down);
  wire.set_delay_ms(plain.delay_ms);
  wire.set_lose_swap_answers(plain.lose_swap_answers);
}

void FromWire(const wire::StoreFaults& wire, StoreFaults& plain) {
  plain.down = wire.down();
  plain.delay_ms = wire.delay_ms();
  plain.lose_swap_answers = wire.lose_swap_answers();
}

std::string Encode(const StoreFaults& plain) {
  wire::StoreFaults wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, StoreFaults& plain) {
  wire::StoreFaults wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const StoreFaults& plain) {
  wire::StoreFaults wire;
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

bool DecodeJson(std::string_view text, StoreFaults& plain) {
  wire::StoreFaults wire;
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
