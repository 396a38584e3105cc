// Generated from Source/Schema/mesh.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "mesh.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const RouteDestination& plain);
bool Decode(std::string_view bytes, RouteDestination& plain);
std::string EncodeJson(const RouteDestination& plain);
bool DecodeJson(std::string_view text, RouteDestination& plain);
std::string Encode(const HostRoute& plain);
bool Decode(std::string_view bytes, HostRoute& plain);
std::string EncodeJson(const HostRoute& plain);
bool DecodeJson(std::string_view text, HostRoute& plain);
std::string Encode(const MeshWorkspace& plain);
bool Decode(std::string_view bytes, MeshWorkspace& plain);
std::string EncodeJson(const MeshWorkspace& plain);
bool DecodeJson(std::string_view text, MeshWorkspace& plain);
std::string Encode(const MeshService& plain);
bool Decode(std::string_view bytes, MeshService& plain);
std::string EncodeJson(const MeshService& plain);
bool DecodeJson(std::string_view text, MeshService& plain);
std::string Encode(const CallerLimits& plain);
bool Decode(std::string_view bytes, CallerLimits& plain);
std::string EncodeJson(const CallerLimits& plain);
bool DecodeJson(std::string_view text, CallerLimits& plain);
std::string Encode(const RouteTable& plain);
bool Decode(std::string_view bytes, RouteTable& plain);
std::string EncodeJson(const RouteTable& plain);
bool DecodeJson(std::string_view text, RouteTable& plain);
std::string Encode(const LocalTargetRecord& plain);
bool Decode(std::string_view bytes, LocalTargetRecord& plain);
std::string EncodeJson(const LocalTargetRecord& plain);
bool DecodeJson(std::string_view text, LocalTargetRecord& plain);
std::string Encode(const HostRecord& plain);
bool Decode(std::string_view bytes, HostRecord& plain);
std::string EncodeJson(const HostRecord& plain);
bool DecodeJson(std::string_view text, HostRecord& plain);
std::string Encode(const PeerSnapshot& plain);
bool Decode(std::string_view bytes, PeerSnapshot& plain);
std::string EncodeJson(const PeerSnapshot& plain);
bool DecodeJson(std::string_view text, PeerSnapshot& plain);
std::string Encode(const PeerProgress& plain);
bool Decode(std::string_view bytes, PeerProgress& plain);
std::string EncodeJson(const PeerProgress& plain);
bool DecodeJson(std::string_view text, PeerProgress& plain);
std::string Encode(const HopRequest& plain);
bool Decode(std::string_view bytes, HopRequest& plain);
std::string EncodeJson(const HopRequest& plain);
bool DecodeJson(std::string_view text, HopRequest& plain);
std::string Encode(const HopReport& plain);
bool Decode(std::string_view bytes, HopReport& plain);
std::string EncodeJson(const HopReport& plain);
bool DecodeJson(std::string_view text, HopReport& plain);
std::string Encode(const HopTrace& plain);
bool Decode(std::string_view bytes, HopTrace& plain);
std::string EncodeJson(const HopTrace& plain);
bool DecodeJson(std::string_view text, HopTrace& plain);
std::string Encode(const RequestTrace& plain);
bool Decode(std::string_view bytes, RequestTrace& plain);
std::string EncodeJson(const RequestTrace& plain);
bool DecodeJson(std::string_view text, RequestTrace& plain);
std::string Encode(const RequestTraceList& plain);
bool Decode(std::string_view bytes, RequestTraceList& plain);
std::string EncodeJson(const RequestTraceList& plain);
bool DecodeJson(std::string_view text, RequestTraceList& plain);
std::string Encode(const MeshDump& plain);
bool Decode(std::string_view bytes, MeshDump& plain);
std::string EncodeJson(const MeshDump& plain);
bool DecodeJson(std::string_view text, MeshDump& plain);
std::string Encode(const MeshSettings& plain);
bool Decode(std::string_view bytes, MeshSettings& plain);
std::string EncodeJson(const MeshSettings& plain);
bool DecodeJson(std::string_view text, MeshSettings& plain);

namespace wire {
class RouteDestination;
class HostRoute;
class MeshWorkspace;
class MeshService;
class CallerLimits;
class RouteTable;
class LocalTargetRecord;
class HostRecord;
class PeerSnapshot;
class PeerProgress;
class HopRequest;
class HopReport;
class HopTrace;
class RequestTrace;
class RequestTraceList;
class MeshDump;
class MeshSettings;
}  // namespace wire

void ToWire(const RouteDestination& plain, wire::RouteDestination& wire);
void FromWire(const wire::RouteDestination& wire, RouteDestination& plain);
void ToWire(const HostRoute& plain, wire::HostRoute& wire);
void FromWire(const wire::HostRoute& wire, HostRoute& plain);
void ToWire(const MeshWorkspace& plain, wire::MeshWorkspace& wire);
void FromWire(const wire::MeshWorkspace& wire, MeshWorkspace& plain);
void ToWire(const MeshService& plain, wire::MeshService& wire);
void FromWire(const wire::MeshService& wire, MeshService& plain);
void ToWire(const CallerLimits& plain, wire::CallerLimits& wire);
void FromWire(const wire::CallerLimits& wire, CallerLimits& plain);
void ToWire(const RouteTable& plain, wire::RouteTable& wire);
void FromWire(const wire::RouteTable& wire, RouteTable& plain);
void ToWire(const LocalTargetRecord& plain, wire::LocalTargetRecord& wire);
void FromWire(const wire::LocalTargetRecord& wire, LocalTargetRecord& plain);
void ToWire(const HostRecord& plain, wire::HostRecord& wire);
void FromWire(const wire::HostRecord& wire, HostRecord& plain);
void ToWire(const PeerSnapshot& plain, wire::PeerSnapshot& wire);
void FromWire(const wire::PeerSnapshot& wire, PeerSnapshot& plain);
void ToWire(const PeerProgress& plain, wire::PeerProgress& wire);
void FromWire(const wire::PeerProgress& wire, PeerProgress& plain);
void ToWire(const HopRequest& plain, wire::HopRequest& wire);
void FromWire(const wire::HopRequest& wire, HopRequest& plain);
void ToWire(const HopReport& plain, wire::HopReport& wire);
void FromWire(const wire::HopReport& wire, HopReport& plain);
void ToWire(const HopTrace& plain, wire::HopTrace& wire);
void FromWire(const wire::HopTrace& wire, HopTrace& plain);
void ToWire(const RequestTrace& plain, wire::RequestTrace& wire);
void FromWire(const wire::RequestTrace& wire, RequestTrace& plain);
void ToWire(const RequestTraceList& plain, wire::RequestTraceList& wire);
void FromWire(const wire::RequestTraceList& wire, RequestTraceList& plain);
void ToWire(const MeshDump& plain, wire::MeshDump& wire);
void FromWire(const wire::MeshDump& wire, MeshDump& plain);
void ToWire(const MeshSettings& plain, wire::MeshSettings& wire);
void FromWire(const wire::MeshSettings& wire, MeshSettings& plain);

}  // namespace lacewingbridge
