#include "Claims/claim_key_time.h"

#include <cstddef>

#include "Claims/claim_limits.h"

namespace lacewingbridge {

namespace {

constexpr std::size_t kUuidLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;
// The time takes the first two groups, of 8 and 4 digits, with a hyphen between them.
constexpr std::size_t kTimeLength = 13;

constexpr bool IsHyphenPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

std::optional<unsigned> ReadHexDigit(char digit) {
  if (digit >= '0' && digit <= '9') {
    return static_cast<unsigned>(digit - '0');
  }
  if (digit >= 'a' && digit <= 'f') {
    return static_cast<unsigned>(digit - 'a') + 10;
  }
  if (digit >= 'A' && digit <= 'F') {
    return static_cast<unsigned>(digit - 'A') + 10;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::uint64_t> ClaimKeyTime::Read(std::string_view key) {
  if (key.size() != kUuidLength || key[kVersionPosition] != '7') {
    return std::nullopt;
  }
  std::uint64_t unix_ms = 0;
  for (std::size_t i = 0; i < kUuidLength; ++i) {
    if (IsHyphenPosition(i)) {
      if (key[i] != '-') {
        return std::nullopt;
      }
      continue;
    }
    const std::optional<unsigned> digit = ReadHexDigit(key[i]);
    // RFC 9562 requires the variant bits 10, so this digit is 8, 9, a or b.
    if (!digit.has_value() || (i == kVariantPosition && *digit >> 2U != 2U)) {
      return std::nullopt;
    }
    if (i < kTimeLength) {
      unix_ms = unix_ms << 4U | *digit;
    }
  }
  return unix_ms;
}

bool ClaimKeyTime::IsAhead(std::optional<std::uint64_t> key_unix_ms, std::uint64_t owner_unix_ms) {
  return key_unix_ms.has_value() &&
         *key_unix_ms > owner_unix_ms + static_cast<std::uint64_t>(kMaxClockSkew.count());
}

}  // namespace lacewingbridge
