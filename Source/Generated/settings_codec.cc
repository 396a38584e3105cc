// Generated from Source/Schema/settings.proto by Utilities/SchemaGenerator. Do not edit.
#include "settings_codec.h"

#include <google/protobuf/util/json_util.h>

#include "settings.pb.h"

namespace lacewingbridge {

void ToWire(const Settings& plain, wire::Settings& wire) {
  wire.set_host(plain.host);
  wire.set_data_centre(plain.data_centre);
  wire.set_region(plain.region);
  wire.set_caller_address(plain.caller_address);
  wire.set_control_address(plain.control_address);
  for (const auto& element : plain.seed_addresses) {
    wire.add_seed_addresses(element);
  }
  wire.set_store_address(plain.store_address);
  wire.set_profile(plain.profile);
  wire.set_caller_threads(plain.caller_threads);
  wire.set_control_threads(plain.control_threads);
  wire.set_probe_interval_ms(plain.probe_interval_ms);
  wire.set_suspicion_ms(plain.suspicion_ms);
  wire.set_watch_lease_ms(plain.watch_lease_ms);
  wire.set_drain_limit_ms(plain.drain_limit_ms);
  wire.set_claim_retention_ms(plain.claim_retention_ms);
  wire.set_claim_capacity(plain.claim_capacity);
  wire.set_state_shards(plain.state_shards);
  wire.set_store_timeout_ms(plain.store_timeout_ms);
  wire.set_connect_timeout_ms(plain.connect_timeout_ms);
  wire.set_log_level(plain.log_level);
}

void FromWire(const wire::Settings& wire, Settings& plain) {
  plain.host = wire.host();
  plain.data_centre = wire.data_centre();
  plain.region = wire.region();
  plain.caller_address = wire.caller_address();
  plain.control_address = wire.control_address();
  plain.seed_addresses.reserve(static_cast<std::size_t>(wire.seed_addresses_size()));
  for (const auto& element : wire.seed_addresses()) {
    plain.seed_addresses.push_back(element);
  }
  plain.store_address = wire.store_address();
  plain.profile = wire.profile();
  plain.caller_threads = wire.caller_threads();
  plain.control_threads = wire.control_threads();
  plain.probe_interval_ms = wire.probe_interval_ms();
  plain.suspicion_ms = wire.suspicion_ms();
  plain.watch_lease_ms = wire.watch_lease_ms();
  plain.drain_limit_ms = wire.drain_limit_ms();
  plain.claim_retention_ms = wire.claim_retention_ms();
  plain.claim_capacity = wire.claim_capacity();
  plain.state_shards = wire.state_shards();
  plain.store_timeout_ms = wire.store_timeout_ms();
  plain.connect_timeout_ms = wire.connect_timeout_ms();
  plain.log_level = wire.log_level();
}

std::string Encode(const Settings& plain) {
  wire::Settings wire;
  ToWire(plain, wire);
  return wire.SerializeAsString();
}

bool Decode(std::string_view bytes, Settings& plain) {
  wire::Settings wire;
  if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return false;
  }
  plain = {};
  FromWire(wire, plain);
  return true;
}

std::string EncodeJson(const Settings& plain) {
  wire::Settings wire;
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

bool DecodeJson(std::string_view text, Settings& plain) {
  wire::Settings wire;
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
