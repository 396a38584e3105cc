// Generated from Source/Schema/rules.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "rules.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const VersionStamp& plain);
bool Decode(std::string_view bytes, VersionStamp& plain);
std::string EncodeJson(const VersionStamp& plain);
bool DecodeJson(std::string_view text, VersionStamp& plain);
std::string Encode(const DeltaEdit& plain);
bool Decode(std::string_view bytes, DeltaEdit& plain);
std::string EncodeJson(const DeltaEdit& plain);
bool DecodeJson(std::string_view text, DeltaEdit& plain);
std::string Encode(const RulesOrigin& plain);
bool Decode(std::string_view bytes, RulesOrigin& plain);
std::string EncodeJson(const RulesOrigin& plain);
bool DecodeJson(std::string_view text, RulesOrigin& plain);
std::string Encode(const RulesDeltaScript& plain);
bool Decode(std::string_view bytes, RulesDeltaScript& plain);
std::string EncodeJson(const RulesDeltaScript& plain);
bool DecodeJson(std::string_view text, RulesDeltaScript& plain);
std::string Encode(const RulesVersion& plain);
bool Decode(std::string_view bytes, RulesVersion& plain);
std::string EncodeJson(const RulesVersion& plain);
bool DecodeJson(std::string_view text, RulesVersion& plain);
std::string Encode(const SubmissionRecord& plain);
bool Decode(std::string_view bytes, SubmissionRecord& plain);
std::string EncodeJson(const SubmissionRecord& plain);
bool DecodeJson(std::string_view text, SubmissionRecord& plain);
std::string Encode(const RulesHead& plain);
bool Decode(std::string_view bytes, RulesHead& plain);
std::string EncodeJson(const RulesHead& plain);
bool DecodeJson(std::string_view text, RulesHead& plain);

namespace wire {
class VersionStamp;
class DeltaEdit;
class RulesOrigin;
class RulesDeltaScript;
class RulesVersion;
class SubmissionRecord;
class RulesHead;
}  // namespace wire

void ToWire(const VersionStamp& plain, wire::VersionStamp& wire);
void FromWire(const wire::VersionStamp& wire, VersionStamp& plain);
void ToWire(const DeltaEdit& plain, wire::DeltaEdit& wire);
void FromWire(const wire::DeltaEdit& wire, DeltaEdit& plain);
void ToWire(const RulesOrigin& plain, wire::RulesOrigin& wire);
void FromWire(const wire::RulesOrigin& wire, RulesOrigin& plain);
void ToWire(const RulesDeltaScript& plain, wire::RulesDeltaScript& wire);
void FromWire(const wire::RulesDeltaScript& wire, RulesDeltaScript& plain);
void ToWire(const RulesVersion& plain, wire::RulesVersion& wire);
void FromWire(const wire::RulesVersion& wire, RulesVersion& plain);
void ToWire(const SubmissionRecord& plain, wire::SubmissionRecord& wire);
void FromWire(const wire::SubmissionRecord& wire, SubmissionRecord& plain);
void ToWire(const RulesHead& plain, wire::RulesHead& wire);
void FromWire(const wire::RulesHead& wire, RulesHead& plain);

}  // namespace lacewingbridge
