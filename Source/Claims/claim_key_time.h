#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_

#include <cstdint>
#include <optional>
#include <string_view>

namespace lacewingbridge {

// Reads the creation time of an Idempotency-Key. A key in the form of a version 7 UUID
// (RFC 9562) contains its creation time in Unix milliseconds in its first 48 bits and is
// called a timed key. Other keys have no time.
//
// The time is set by the caller and is not trusted. Owners refuse timed keys that are more
// than kMaxClockSkew ahead of their own clock. Therefore no process grants a key whose time
// is later than the end of the process plus 2 * kMaxClockSkew, as measured by the clock of
// any other host. This assumes that the clocks of the daemons' hosts agree within
// kMaxClockSkew.
class ClaimKeyTime {
 public:
  // Returns the time in Unix milliseconds, or nothing when the key has no time.
  static std::optional<std::uint64_t> Read(std::string_view key);

  // Whether the key's time is more than kMaxClockSkew ahead of the owner's clock. Such a key
  // must not be granted. A key without a time is never ahead.
  static bool IsAhead(std::optional<std::uint64_t> key_unix_ms, std::uint64_t owner_unix_ms);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_KEY_TIME_H_
