// Generated from Source/Schema/settings.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "settings.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const Settings& plain);
bool Decode(std::string_view bytes, Settings& plain);
std::string EncodeJson(const Settings& plain);
bool DecodeJson(std::string_view text, Settings& plain);

namespace wire {
class Settings;
}  // namespace wire

void ToWire(const Settings& plain, wire::Settings& wire);
void FromWire(const wire::Settings& wire, Settings& plain);

}  // namespace lacewingbridge
