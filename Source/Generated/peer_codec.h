// Generated from Source/Schema/peer.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "peer.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const FetchRulesRequest& plain);
bool Decode(std::string_view bytes, FetchRulesRequest& plain);
std::string EncodeJson(const FetchRulesRequest& plain);
bool DecodeJson(std::string_view text, FetchRulesRequest& plain);
std::string Encode(const FetchRulesReply& plain);
bool Decode(std::string_view bytes, FetchRulesReply& plain);
std::string EncodeJson(const FetchRulesReply& plain);
bool DecodeJson(std::string_view text, FetchRulesReply& plain);
std::string Encode(const ListMembersRequest& plain);
bool Decode(std::string_view bytes, ListMembersRequest& plain);
std::string EncodeJson(const ListMembersRequest& plain);
bool DecodeJson(std::string_view text, ListMembersRequest& plain);
std::string Encode(const ListMembersReply& plain);
bool Decode(std::string_view bytes, ListMembersReply& plain);
std::string EncodeJson(const ListMembersReply& plain);
bool DecodeJson(std::string_view text, ListMembersReply& plain);
std::string Encode(const DataCentreDigest& plain);
bool Decode(std::string_view bytes, DataCentreDigest& plain);
std::string EncodeJson(const DataCentreDigest& plain);
bool DecodeJson(std::string_view text, DataCentreDigest& plain);
std::string Encode(const RelayExchangeRequest& plain);
bool Decode(std::string_view bytes, RelayExchangeRequest& plain);
std::string EncodeJson(const RelayExchangeRequest& plain);
bool DecodeJson(std::string_view text, RelayExchangeRequest& plain);
std::string Encode(const RelayExchangeReply& plain);
bool Decode(std::string_view bytes, RelayExchangeReply& plain);
std::string EncodeJson(const RelayExchangeReply& plain);
bool DecodeJson(std::string_view text, RelayExchangeReply& plain);
std::string Encode(const ClaimOwnerMapRequest& plain);
bool Decode(std::string_view bytes, ClaimOwnerMapRequest& plain);
std::string EncodeJson(const ClaimOwnerMapRequest& plain);
bool DecodeJson(std::string_view text, ClaimOwnerMapRequest& plain);
std::string Encode(const ClaimOwnerMap& plain);
bool Decode(std::string_view bytes, ClaimOwnerMap& plain);
std::string EncodeJson(const ClaimOwnerMap& plain);
bool DecodeJson(std::string_view text, ClaimOwnerMap& plain);
std::string Encode(const ClaimRecord& plain);
bool Decode(std::string_view bytes, ClaimRecord& plain);
std::string EncodeJson(const ClaimRecord& plain);
bool DecodeJson(std::string_view text, ClaimRecord& plain);
std::string Encode(const ClaimRequest& plain);
bool Decode(std::string_view bytes, ClaimRequest& plain);
std::string EncodeJson(const ClaimRequest& plain);
bool DecodeJson(std::string_view text, ClaimRequest& plain);
std::string Encode(const ClaimReply& plain);
bool Decode(std::string_view bytes, ClaimReply& plain);
std::string EncodeJson(const ClaimReply& plain);
bool DecodeJson(std::string_view text, ClaimReply& plain);
std::string Encode(const ClaimDoneRequest& plain);
bool Decode(std::string_view bytes, ClaimDoneRequest& plain);
std::string EncodeJson(const ClaimDoneRequest& plain);
bool DecodeJson(std::string_view text, ClaimDoneRequest& plain);
std::string Encode(const ClaimDoneReply& plain);
bool Decode(std::string_view bytes, ClaimDoneReply& plain);
std::string EncodeJson(const ClaimDoneReply& plain);
bool DecodeJson(std::string_view text, ClaimDoneReply& plain);
std::string Encode(const ClaimTransferRequest& plain);
bool Decode(std::string_view bytes, ClaimTransferRequest& plain);
std::string EncodeJson(const ClaimTransferRequest& plain);
bool DecodeJson(std::string_view text, ClaimTransferRequest& plain);
std::string Encode(const ClaimTransferReply& plain);
bool Decode(std::string_view bytes, ClaimTransferReply& plain);
std::string EncodeJson(const ClaimTransferReply& plain);
bool DecodeJson(std::string_view text, ClaimTransferReply& plain);

namespace wire {
class FetchRulesRequest;
class FetchRulesReply;
class ListMembersRequest;
class ListMembersReply;
class DataCentreDigest;
class RelayExchangeRequest;
class RelayExchangeReply;
class ClaimOwnerMapRequest;
class ClaimOwnerMap;
class ClaimRecord;
class ClaimRequest;
class ClaimReply;
class ClaimDoneRequest;
class ClaimDoneReply;
class ClaimTransferRequest;
class ClaimTransferReply;
}  // namespace wire

void ToWire(const FetchRulesRequest& plain, wire::FetchRulesRequest& wire);
void FromWire(const wire::FetchRulesRequest& wire, FetchRulesRequest& plain);
void ToWire(const FetchRulesReply& plain, wire::FetchRulesReply& wire);
void FromWire(const wire::FetchRulesReply& wire, FetchRulesReply& plain);
void ToWire(const ListMembersRequest& plain, wire::ListMembersRequest& wire);
void FromWire(const wire::ListMembersRequest& wire, ListMembersRequest& plain);
void ToWire(const ListMembersReply& plain, wire::ListMembersReply& wire);
void FromWire(const wire::ListMembersReply& wire, ListMembersReply& plain);
void ToWire(const DataCentreDigest& plain, wire::DataCentreDigest& wire);
void FromWire(const wire::DataCentreDigest& wire, DataCentreDigest& plain);
void ToWire(const RelayExchangeRequest& plain, wire::RelayExchangeRequest& wire);
void FromWire(const wire::RelayExchangeRequest& wire, RelayExchangeRequest& plain);
void ToWire(const RelayExchangeReply& plain, wire::RelayExchangeReply& wire);
void FromWire(const wire::RelayExchangeReply& wire, RelayExchangeReply& plain);
void ToWire(const ClaimOwnerMapRequest& plain, wire::ClaimOwnerMapRequest& wire);
void FromWire(const wire::ClaimOwnerMapRequest& wire, ClaimOwnerMapRequest& plain);
void ToWire(const ClaimOwnerMap& plain, wire::ClaimOwnerMap& wire);
void FromWire(const wire::ClaimOwnerMap& wire, ClaimOwnerMap& plain);
void ToWire(const ClaimRecord& plain, wire::ClaimRecord& wire);
void FromWire(const wire::ClaimRecord& wire, ClaimRecord& plain);
void ToWire(const ClaimRequest& plain, wire::ClaimRequest& wire);
void FromWire(const wire::ClaimRequest& wire, ClaimRequest& plain);
void ToWire(const ClaimReply& plain, wire::ClaimReply& wire);
void FromWire(const wire::ClaimReply& wire, ClaimReply& plain);
void ToWire(const ClaimDoneRequest& plain, wire::ClaimDoneRequest& wire);
void FromWire(const wire::ClaimDoneRequest& wire, ClaimDoneRequest& plain);
void ToWire(const ClaimDoneReply& plain, wire::ClaimDoneReply& wire);
void FromWire(const wire::ClaimDoneReply& wire, ClaimDoneReply& plain);
void ToWire(const ClaimTransferRequest& plain, wire::ClaimTransferRequest& wire);
void FromWire(const wire::ClaimTransferRequest& wire, ClaimTransferRequest& plain);
void ToWire(const ClaimTransferReply& plain, wire::ClaimTransferReply& wire);
void FromWire(const wire::ClaimTransferReply& wire, ClaimTransferReply& plain);

}  // namespace lacewingbridge
