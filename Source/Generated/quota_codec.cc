// Generated from Source/Schema/quota.proto by Utilities/SchemaGenerator. Do not edit.
#include "quota_codec.h"

#include <google/protobuf/util/json_util.h>

#include "quota.pb.h"

namespace lacewingbridge {

void ToWire(const QuotaAsk& plain, wire::QuotaAsk& wire) {
  wire.set_workspace(plain.workspace);
  wire.set_share(plain.share);
  wire.set_holder(plain.holder);
  wire.set_serial(plain.serial);
  wire.set_received(plain.received);
  wire.set_held(plain.held);
  wire.set_returned(plain.returned);
  wire.set_wanted(plain.wanted);
  wire.set_waiting(plain.waiting);
  wire.set_table_version(plain.table_version);
  wire.set_rate_per_s(plain.rate_per_s);
  wire.set_burst(plain.burst);
}

void FromWire(const wire::QuotaAsk& wire, QuotaAsk& plain) {
  plain.workspace = wire.workspace();
  plain.share = wire.share();
  plain.holder = wire.holder();
  plain.serial = wire.serial();
  plain.received = wire.received();
  plain.held = wire.held();
  plain.returned = wire.returned();
  plain.wanted = wire.wanted();
  plain.waiting = wire.waiting();
  plain.table_version = wire.table_version();
  plain.rate_per_s = wire.rate_per_s();
  plain.burst = wire.burst();
}

std::string Encode(const QuotaAsk& plain) {
  wire::QuotaAsk wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, QuotaAsk& plain) {
  wire::QuotaAsk wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const QuotaAsk& plain) {
  wire::QuotaAsk wire;
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

bool DecodeJson(std::string_view text, QuotaAsk& plain) {
  wire::QuotaAsk wire;
  if (!google::protobuf::util::JsonStringToMessage(
           google::protobuf::StringPiece(text.data(), text.size()), &wire)
           .ok()) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

void ToWire(const QuotaReply& plain, wire::QuotaReply& wire) {
  wire.set_serial(plain.serial);
  wire.set_status(static_cast<wire::QuotaStatus>(plain.status));
  wire.set_granted(plain.granted);
  wire.set_wait_ms(plain.wait_ms);
}

void FromWire(const wire::QuotaReply& wire, QuotaReply& plain) {
  plain.serial = wire.serial();
  plain.status = static_cast<QuotaStatus>(wire.status());
  plain.granted = wire.granted();
  plain.wait_ms = wire.wait_ms();
}

std::string Encode(const QuotaReply& plain) {
  wire::QuotaReply wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, QuotaReply& plain) {
  wire::QuotaReply wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const QuotaReply& plain) {
  wire::QuotaReply wire;
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

bool DecodeJson(std::string_view text, QuotaReply& plain) {
  wire::QuotaReply wire;
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
