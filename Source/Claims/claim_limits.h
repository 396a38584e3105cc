#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_

#include <chrono>
#include <cstddef>

#include "Core/time_point.h"

namespace lacewingbridge {

// Bounds of the claims of one owner host (or of one shard of it).
struct ClaimLimits {
  // Time within which a key runs at most once, counted from the start of its run.
  Duration retention = std::chrono::minutes(10);
  // Longest time between a grant and the start of its run. Owners remember a key for
  // retention + grant_delivery, and ClaimGate discards a grant that arrives later.
  Duration grant_delivery = std::chrono::seconds(5);
  std::size_t key_capacity = 20000;
  std::size_t byte_capacity = std::size_t{32} * 1024 * 1024;

  Duration GetMemory() const { return this->retention + this->grant_delivery; }
};

// The clocks of the daemons' hosts are assumed to agree within this; see ClaimKeyTime.
inline constexpr std::chrono::milliseconds kMaxClockSkew{2000};
// Time after which a process that reaches its peers holds every owner map that was created
// before its start, counted from its first map. Gossip passes a map on about every second,
// and relays between data centres exchange its epoch every 5 s in the bytes profile.
inline constexpr std::chrono::seconds kMapSettleTime{10};

// Longer answers keep only their status.
inline constexpr std::size_t kMaxKeptAnswerBytes = 4096;
// Longer keys, host names and content types are refused, so that one record has a bounded size.
inline constexpr std::size_t kMaxClaimNameBytes = 256;
// Largest encoded part of a hand-over.
inline constexpr std::size_t kMaxTransferPartBytes = std::size_t{64} * 1024;
// Upper bound of a record's encoded size beyond its texts: 11 fields of at most 11 bytes.
inline constexpr std::size_t kClaimRecordOverheadBytes = 128;

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_LIMITS_H_
