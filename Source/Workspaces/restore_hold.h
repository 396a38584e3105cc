#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_RESTORE_HOLD_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_RESTORE_HOLD_H_

#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// Decides whether the newest configuration in the store may be older than one that the store has
// acknowledged. It is designed for this load: the store is restored from a copy that lacks the
// removal of an API key, daemons read the older configuration from it, and the operators write the
// newer one again a little later.
//
// After a restore the store proves nothing until the operators have written the configuration, or
// for as long as a removed key may be served. A daemon that has just started cannot tell whether
// the store was restored a moment ago, so the first era counts as a restore too; until the hold is
// over it uses the proofs of other daemons.
class RestoreHold {
 public:
  // Records that a response has shown the first era of the store, or a new one.
  void BeginEra(TimePoint now) { this->begun_at = now; }
  // Records that the configuration was written in this era.
  void RecordWrite() { this->begun_at.reset(); }
  // Whether an answer to a call that was sent at the time proves anything.
  bool IsOver(TimePoint sent, Duration bound) const {
    return !this->begun_at.has_value() || sent - *this->begun_at >= bound;
  }

 private:
  // Empty if the store states no era, or the configuration was written in the present one.
  std::optional<TimePoint> begun_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_RESTORE_HOLD_H_
