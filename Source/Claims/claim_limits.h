#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "Core/time_point.h"

namespace lacewingbridge {

// Time and size limits of the claims of one owner host, or of one of its shards.
struct ClaimLimits {
  // Time within which a key runs at most once, counted from the start of the run.
  Duration retention = std::chrono::minutes(10);
  // Longest time between a grant and the start of the run. Owners keep a claim for
  // retention + grant_delivery, and ClaimGate discards a grant that arrives later than this.
  Duration grant_delivery = std::chrono::seconds(5);
  std::size_t key_capacity = 20000;
  std::size_t byte_capacity = std::size_t{32} * 1024 * 1024;

  // The claim lifetime: the time for which an owner keeps a claim, counted from the grant or
  // from the report of its response.
  Duration GetClaimLifetime() const { return this->retention + this->grant_delivery; }
};

// The clocks of any two hosts of daemons are assumed to differ by at most this; see
// ClaimKeyTime.
inline constexpr std::chrono::milliseconds kMaxClockSkew{2000};
// Time after its first owner map within which a process that reaches its peers receives every
// map that was created before its start. Gossip forwards a map about every second, and
// relays between data centres exchange its epoch every 5 s in the bytes profile.
inline constexpr std::chrono::seconds kMapSettleTime{10};

// Longer response bodies are not stored; only their status code is.
inline constexpr std::size_t kMaxStoredResponseBytes = 4096;
// Claims with a longer key or host name are refused, and a response with a longer content
// type is not stored, so that the size of one record is bounded.
inline constexpr std::size_t kMaxClaimNameBytes = 256;
// Largest encoded size of one part of a handover.
inline constexpr std::size_t kMaxTransferPartBytes = std::size_t{64} * 1024;
// Upper bound of a record's encoded size without the content of its strings: 11 fields of at
// most 11 bytes.
inline constexpr std::size_t kClaimRecordOverheadBytes = 128;

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_
