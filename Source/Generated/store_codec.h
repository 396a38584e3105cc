// Generated from Source/Schema/store.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "store.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const StoreEntry& plain);
bool Decode(std::string_view bytes, StoreEntry& plain);
std::string EncodeJson(const StoreEntry& plain);
bool DecodeJson(std::string_view text, StoreEntry& plain);
std::string Encode(const StoreGetRequest& plain);
bool Decode(std::string_view bytes, StoreGetRequest& plain);
std::string EncodeJson(const StoreGetRequest& plain);
bool DecodeJson(std::string_view text, StoreGetRequest& plain);
std::string Encode(const StoreGetReply& plain);
bool Decode(std::string_view bytes, StoreGetReply& plain);
std::string EncodeJson(const StoreGetReply& plain);
bool DecodeJson(std::string_view text, StoreGetReply& plain);
std::string Encode(const StoreSwapRequest& plain);
bool Decode(std::string_view bytes, StoreSwapRequest& plain);
std::string EncodeJson(const StoreSwapRequest& plain);
bool DecodeJson(std::string_view text, StoreSwapRequest& plain);
std::string Encode(const StoreSwapReply& plain);
bool Decode(std::string_view bytes, StoreSwapReply& plain);
std::string EncodeJson(const StoreSwapReply& plain);
bool DecodeJson(std::string_view text, StoreSwapReply& plain);
std::string Encode(const StoreLeaseRequest& plain);
bool Decode(std::string_view bytes, StoreLeaseRequest& plain);
std::string EncodeJson(const StoreLeaseRequest& plain);
bool DecodeJson(std::string_view text, StoreLeaseRequest& plain);
std::string Encode(const StoreLeaseReply& plain);
bool Decode(std::string_view bytes, StoreLeaseReply& plain);
std::string EncodeJson(const StoreLeaseReply& plain);
bool DecodeJson(std::string_view text, StoreLeaseReply& plain);
std::string Encode(const StoreWatchRequest& plain);
bool Decode(std::string_view bytes, StoreWatchRequest& plain);
std::string EncodeJson(const StoreWatchRequest& plain);
bool DecodeJson(std::string_view text, StoreWatchRequest& plain);
std::string Encode(const StoreWatchReply& plain);
bool Decode(std::string_view bytes, StoreWatchReply& plain);
std::string EncodeJson(const StoreWatchReply& plain);
bool DecodeJson(std::string_view text, StoreWatchReply& plain);
std::string Encode(const WatchHolder& plain);
bool Decode(std::string_view bytes, WatchHolder& plain);
std::string EncodeJson(const WatchHolder& plain);
bool DecodeJson(std::string_view text, WatchHolder& plain);
std::string Encode(const SeedList& plain);
bool Decode(std::string_view bytes, SeedList& plain);
std::string EncodeJson(const SeedList& plain);
bool DecodeJson(std::string_view text, SeedList& plain);
std::string Encode(const StoreCallCounts& plain);
bool Decode(std::string_view bytes, StoreCallCounts& plain);
std::string EncodeJson(const StoreCallCounts& plain);
bool DecodeJson(std::string_view text, StoreCallCounts& plain);
std::string Encode(const StoreFaults& plain);
bool Decode(std::string_view bytes, StoreFaults& plain);
std::string EncodeJson(const StoreFaults& plain);
bool DecodeJson(std::string_view text, StoreFaults& plain);

namespace wire {
class StoreEntry;
class StoreGetRequest;
class StoreGetReply;
class StoreSwapRequest;
class StoreSwapReply;
class StoreLeaseRequest;
class StoreLeaseReply;
class StoreWatchRequest;
class StoreWatchReply;
class WatchHolder;
class SeedList;
class StoreCallCounts;
class StoreFaults;
}  // namespace wire

void ToWire(const StoreEntry& plain, wire::StoreEntry& wire);
void FromWire(const wire::StoreEntry& wire, StoreEntry& plain);
void ToWire(const StoreGetRequest& plain, wire::StoreGetRequest& wire);
void FromWire(const wire::StoreGetRequest& wire, StoreGetRequest& plain);
void ToWire(const StoreGetReply& plain, wire::StoreGetReply& wire);
void FromWire(const wire::StoreGetReply& wire, StoreGetReply& plain);
void ToWire(const StoreSwapRequest& plain, wire::StoreSwapRequest& wire);
void FromWire(const wire::StoreSwapRequest& wire, StoreSwapRequest& plain);
void ToWire(const StoreSwapReply& plain, wire::StoreSwapReply& wire);
void FromWire(const wire::StoreSwapReply& wire, StoreSwapReply& plain);
void ToWire(const StoreLeaseRequest& plain, wire::StoreLeaseRequest& wire);
void FromWire(const wire::StoreLeaseRequest& wire, StoreLeaseRequest& plain);
void ToWire(const StoreLeaseReply& plain, wire::StoreLeaseReply& wire);
void FromWire(const wire::StoreLeaseReply& wire, StoreLeaseReply& plain);
void ToWire(const StoreWatchRequest& plain, wire::StoreWatchRequest& wire);
void FromWire(const wire::StoreWatchRequest& wire, StoreWatchRequest& plain);
void ToWire(const StoreWatchReply& plain, wire::StoreWatchReply& wire);
void FromWire(const wire::StoreWatchReply& wire, StoreWatchReply& plain);
void ToWire(const WatchHolder& plain, wire::WatchHolder& wire);
void FromWire(const wire::WatchHolder& wire, WatchHolder& plain);
void ToWire(const SeedList& plain, wire::SeedList& wire);
void FromWire(const wire::SeedList& wire, SeedList& plain);
void ToWire(const StoreCallCounts& plain, wire::StoreCallCounts& wire);
void FromWire(const wire::StoreCallCounts& wire, StoreCallCounts& plain);
void ToWire(const StoreFaults& plain, wire::StoreFaults& wire);
void FromWire(const wire::StoreFaults& wire, StoreFaults& plain);

}  // namespace lacewingbridge
