// Generated from Source/Schema/dump.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "dump.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const TargetDump& plain);
bool Decode(std::string_view bytes, TargetDump& plain);
std::string EncodeJson(const TargetDump& plain);
bool DecodeJson(std::string_view text, TargetDump& plain);
std::string Encode(const ServiceDump& plain);
bool Decode(std::string_view bytes, ServiceDump& plain);
std::string EncodeJson(const ServiceDump& plain);
bool DecodeJson(std::string_view text, ServiceDump& plain);
std::string Encode(const DisplacedVersion& plain);
bool Decode(std::string_view bytes, DisplacedVersion& plain);
std::string EncodeJson(const DisplacedVersion& plain);
bool DecodeJson(std::string_view text, DisplacedVersion& plain);
std::string Encode(const StateDump& plain);
bool Decode(std::string_view bytes, StateDump& plain);
std::string EncodeJson(const StateDump& plain);
bool DecodeJson(std::string_view text, StateDump& plain);

namespace wire {
class TargetDump;
class ServiceDump;
class DisplacedVersion;
class StateDump;
}  // namespace wire

void ToWire(const TargetDump& plain, wire::TargetDump& wire);
void FromWire(const wire::TargetDump& wire, TargetDump& plain);
void ToWire(const ServiceDump& plain, wire::ServiceDump& wire);
void FromWire(const wire::ServiceDump& wire, ServiceDump& plain);
void ToWire(const DisplacedVersion& plain, wire::DisplacedVersion& wire);
void FromWire(const wire::DisplacedVersion& wire, DisplacedVersion& plain);
void ToWire(const StateDump& plain, wire::StateDump& wire);
void FromWire(const wire::StateDump& wire, StateDump& plain);

}  // namespace lacewingbridge
