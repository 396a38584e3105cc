// Generated from Source/Schema/admin.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "admin.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const OperatorError& plain);
bool Decode(std::string_view bytes, OperatorError& plain);
std::string EncodeJson(const OperatorError& plain);
bool DecodeJson(std::string_view text, OperatorError& plain);
std::string Encode(const VersionSummary& plain);
bool Decode(std::string_view bytes, VersionSummary& plain);
std::string EncodeJson(const VersionSummary& plain);
bool DecodeJson(std::string_view text, VersionSummary& plain);
std::string Encode(const SubmitReply& plain);
bool Decode(std::string_view bytes, SubmitReply& plain);
std::string EncodeJson(const SubmitReply& plain);
bool DecodeJson(std::string_view text, SubmitReply& plain);
std::string Encode(const RulesProblem& plain);
bool Decode(std::string_view bytes, RulesProblem& plain);
std::string EncodeJson(const RulesProblem& plain);
bool DecodeJson(std::string_view text, RulesProblem& plain);
std::string Encode(const CheckReply& plain);
bool Decode(std::string_view bytes, CheckReply& plain);
std::string EncodeJson(const CheckReply& plain);
bool DecodeJson(std::string_view text, CheckReply& plain);
std::string Encode(const StatusReply& plain);
bool Decode(std::string_view bytes, StatusReply& plain);
std::string EncodeJson(const StatusReply& plain);
bool DecodeJson(std::string_view text, StatusReply& plain);
std::string Encode(const ExplainReply& plain);
bool Decode(std::string_view bytes, ExplainReply& plain);
std::string EncodeJson(const ExplainReply& plain);
bool DecodeJson(std::string_view text, ExplainReply& plain);
std::string Encode(const RulesReply& plain);
bool Decode(std::string_view bytes, RulesReply& plain);
std::string EncodeJson(const RulesReply& plain);
bool DecodeJson(std::string_view text, RulesReply& plain);
std::string Encode(const DrainReply& plain);
bool Decode(std::string_view bytes, DrainReply& plain);
std::string EncodeJson(const DrainReply& plain);
bool DecodeJson(std::string_view text, DrainReply& plain);
std::string Encode(const TargetAnnouncement& plain);
bool Decode(std::string_view bytes, TargetAnnouncement& plain);
std::string EncodeJson(const TargetAnnouncement& plain);
bool DecodeJson(std::string_view text, TargetAnnouncement& plain);

namespace wire {
class OperatorError;
class VersionSummary;
class SubmitReply;
class RulesProblem;
class CheckReply;
class StatusReply;
class ExplainReply;
class RulesReply;
class DrainReply;
class TargetAnnouncement;
}  // namespace wire

void ToWire(const OperatorError& plain, wire::OperatorError& wire);
void FromWire(const wire::OperatorError& wire, OperatorError& plain);
void ToWire(const VersionSummary& plain, wire::VersionSummary& wire);
void FromWire(const wire::VersionSummary& wire, VersionSummary& plain);
void ToWire(const SubmitReply& plain, wire::SubmitReply& wire);
void FromWire(const wire::SubmitReply& wire, SubmitReply& plain);
void ToWire(const RulesProblem& plain, wire::RulesProblem& wire);
void FromWire(const wire::RulesProblem& wire, RulesProblem& plain);
void ToWire(const CheckReply& plain, wire::CheckReply& wire);
void FromWire(const wire::CheckReply& wire, CheckReply& plain);
void ToWire(const StatusReply& plain, wire::StatusReply& wire);
void FromWire(const wire::StatusReply& wire, StatusReply& plain);
void ToWire(const ExplainReply& plain, wire::ExplainReply& wire);
void FromWire(const wire::ExplainReply& wire, ExplainReply& plain);
void ToWire(const RulesReply& plain, wire::RulesReply& wire);
void FromWire(const wire::RulesReply& wire, RulesReply& plain);
void ToWire(const DrainReply& plain, wire::DrainReply& wire);
void FromWire(const wire::DrainReply& wire, DrainReply& plain);
void ToWire(const TargetAnnouncement& plain, wire::TargetAnnouncement& wire);
void FromWire(const wire::TargetAnnouncement& wire, TargetAnnouncement& plain);

}  // namespace lacewingbridge
