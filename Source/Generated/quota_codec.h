// Generated from Source/Schema/quota.proto by Utilities/SchemaGenerator. Do not edit.
#pragma once

#include <string>
#include <string_view>

#include "quota.h"

namespace lacewingbridge {

// Encode writes protobuf bytes, EncodeJson the protobuf JSON mapping.
// Decode and DecodeJson return false for malformed input.
std::string Encode(const QuotaAsk& plain);
bool Decode(std::string_view bytes, QuotaAsk& plain);
std::string EncodeJson(const QuotaAsk& plain);
bool DecodeJson(std::string_view text, QuotaAsk& plain);
std::string Encode(const QuotaReply& plain);
bool Decode(std::string_view bytes, QuotaReply& plain);
std::string EncodeJson(const QuotaReply& plain);
bool DecodeJson(std::string_view text, QuotaReply& plain);

namespace wire {
class QuotaAsk;
class QuotaReply;
}  // namespace wire

void ToWire(const QuotaAsk& plain, wire::QuotaAsk& wire);
void FromWire(const wire::QuotaAsk& wire, QuotaAsk& plain);
void ToWire(const QuotaReply& plain, wire::QuotaReply& wire);
void FromWire(const wire::QuotaReply& wire, QuotaReply& plain);

}  // namespace lacewingbridge
