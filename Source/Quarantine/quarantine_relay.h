#ifndef LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_

#include <cstddef>
#include <deque>
#include <span>
#include <vector>

#include "Core/time_point.h"
#include "membership.h"

namespace lacewingbridge {

// Recent strikes, kept for the exchanges with other data centres. Gossip reaches the own
// data centre only, and a request that is sent again elsewhere must be known there too.
class QuarantineRelay {
 public:
  // Several exchanges with each data centre fit into this time in both profiles.
  static constexpr Duration kKeepTime = std::chrono::seconds(30);
  static constexpr std::size_t kMaxStrikes = 64;

  // Keeps strikes that are not kept yet; the oldest leave first.
  void Add(TimePoint now, std::span<const QuarantineStrike> strikes);

  std::vector<QuarantineStrike> List(TimePoint now) const;

 private:
  struct Entry {
    TimePoint added;
    QuarantineStrike strike;
  };

  std::deque<Entry> entries;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_RELAY_H_
