// Generated from Source/Schema/membership.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "membership.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const TargetRecord& plain);
bool Decode(std::string_view bytes, TargetRecord& plain);
std::string EncodeJson(const TargetRecord& plain);
bool DecodeJson(std::string_view text, TargetRecord& plain);
std::string Encode(const MemberRecord& plain);
bool Decode(std::string_view bytes, MemberRecord& plain);
std::string EncodeJson(const MemberRecord& plain);
bool DecodeJson(std::string_view text, MemberRecord& plain);
std::string Encode(const QuarantineEvidence& plain);
bool Decode(std::string_view bytes, QuarantineEvidence& plain);
std::string EncodeJson(const QuarantineEvidence& plain);
bool DecodeJson(std::string_view text, QuarantineEvidence& plain);
std::string Encode(const DataCentreProgress& plain);
bool Decode(std::string_view bytes, DataCentreProgress& plain);
std::string EncodeJson(const DataCentreProgress& plain);
bool DecodeJson(std::string_view text, DataCentreProgress& plain);
std::string Encode(const MemberSuspicion& plain);
bool Decode(std::string_view bytes, MemberSuspicion& plain);
std::string EncodeJson(const MemberSuspicion& plain);
bool DecodeJson(std::string_view text, MemberSuspicion& plain);
std::string Encode(const GossipDatagram& plain);
bool Decode(std::string_view bytes, GossipDatagram& plain);
std::string EncodeJson(const GossipDatagram& plain);
bool DecodeJson(std::string_view text, GossipDatagram& plain);

namespace wire {
class TargetRecord;
class MemberRecord;
class QuarantineEvidence;
class DataCentreProgress;
class MemberSuspicion;
class GossipDatagram;
}  // namespace wire

void ToWire(const TargetRecord& plain, wire::TargetRecord& wire);
void FromWire(const wire::TargetRecord& wire, TargetRecord& plain);
void ToWire(const MemberRecord& plain, wire::MemberRecord& wire);
void FromWire(const wire::MemberRecord& wire, MemberRecord& plain);
void ToWire(const QuarantineEvidence& plain, wire::QuarantineEvidence& wire);
void FromWire(const wire::QuarantineEvidence& wire, QuarantineEvidence& plain);
void ToWire(const DataCentreProgress& plain, wire::DataCentreProgress& wire);
void FromWire(const wire::DataCentreProgress& wire, DataCentreProgress& plain);
void ToWire(const MemberSuspicion& plain, wire::MemberSuspicion& wire);
void FromWire(const wire::MemberSuspicion& wire, MemberSuspicion& plain);
void ToWire(const GossipDatagram& plain, wire::GossipDatagram& wire);
void FromWire(const wire::GossipDatagram& wire, GossipDatagram& plain);

}  // namespace lacewingbridge
