#ifndef LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

#include "Core/time_point.h"
#include "membership.h"

namespace lacewingbridge {

// Keeps recent strikes so that they can be sent to other data centres. Gossip does not leave the
// own data centre, but a crashing request may be resent in another one, so its strikes must be
// known there too. The class is not thread-safe.
class QuarantineRelay {
 public:
  // Time for which a strike is kept. In both profiles it covers several exchanges with each data
  // centre.
  static constexpr Duration kRetentionTime = std::chrono::seconds(30);
  static constexpr std::size_t kMaxStrikes = 64;

  // Adds the strikes that are not stored yet. Removes expired strikes, and the oldest ones if there
  // are more than kMaxStrikes.
  void Add(TimePoint now, std::span<const QuarantineEvidence> strikes);

  // Returns the strikes that were added within kRetentionTime before `now`, oldest first.
  std::vector<QuarantineEvidence> List(TimePoint now) const;

 private:
  struct Entry {
    TimePoint added;
    QuarantineEvidence strike;
  };

  std::deque<Entry> entries;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_
