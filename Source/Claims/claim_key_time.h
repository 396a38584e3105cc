#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewingbridge {

// Creation time of an Idempotency-Key. A key in the form of a version 7 UUID (RFC 9562)
// carries it in Unix milliseconds in its first 48 bits; other keys have none.
//
// The time is the caller's statement and is not trusted. Owners refuse timed keys that
// are more than kMaxClockSkew ahead of their own clock, so no process grants a key whose
// time is later than its own end plus 2 * kMaxClockSkew, as measured by any other host.
// This assumes that the clocks of the daemons' hosts agree within kMaxClockSkew.
class ClaimKeyTime {
 public:
  // Unix milliseconds, or nothing when the key has no time.
  static std::optional<std::uint64_t> Read(std::string_view key);

  // Whether the key's time is too far ahead of the owner's clock to be granted.
  static bool IsAhead(std::optional<std::uint64_t> key_unix_ms, std::uint64_t owner_unix_ms);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_
