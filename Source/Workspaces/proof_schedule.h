#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_SCHEDULE_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_SCHEDULE_H_

#include <algorithm>
#include <optional>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

// Decides when a daemon asks the store for a new proof of the newest version, and when it asks
// another daemon for one. It is designed for this load: hundreds of daemons need a young proof all
// the time, and each call to the store is paid for. A few daemons, the readers, ask the store; the
// others ask a reader and fall back to the store if its answers stay away. See proof_readers.h.
class ProofSchedule {
 public:
  explicit ProofSchedule(Duration revoke_bound) : bound(revoke_bound) {}
  Duration GetBound() const { return this->bound; }

  // Whether Draw has to be called before IsDue.
  bool NeedsDraw() const { return !this->age.has_value(); }
  // Draws the age of the newest proof at which this daemon asks the store.
  void Draw(bool is_reader, std::mt19937_64& random);
  // Whether to ask the store now. `proven_at` is when the call of the newest proof was sent, and
  // `requested` whether a request needed a new proof, such as one with an unknown key.
  bool IsDue(TimePoint now, std::optional<TimePoint> proven_at, bool requested) const;
  // Records that the store was asked.
  void RecordAsked(TimePoint now);

  // Interval at which a daemon asks another one.
  static Duration GetPeerInterval(Duration bound) {
    return std::max(bound * kPeerIntervalPercent / 100, kMinPeerInterval);
  }
  // Whether to ask a reader and not any daemon.
  static bool ShouldAskReader(TimePoint now, std::optional<TimePoint> proven_at, Duration bound) {
    return !proven_at.has_value() || now - *proven_at > bound * kReaderAgePercent / 100;
  }

 private:
  // Least time between two calls of one daemon, whatever is requested.
  static constexpr Duration kMinInterval = std::chrono::milliseconds(500);
  // The same for requested calls. Callers can send unknown keys at any rate.
  static constexpr Duration kMinRequestedInterval = std::chrono::seconds(1);
  static constexpr Duration kMinPeerInterval = std::chrono::milliseconds(100);
  // Parts of the bound in percent. What is left of the bound beyond the latest call is for a store
  // that is slow or away for a moment.
  static constexpr int kPeerIntervalPercent = 10;
  static constexpr int kReaderAgePercent = 25;
  static constexpr int kReaderMinPercent = 16;
  static constexpr int kReaderMaxPercent = 24;
  static constexpr int kOtherMinPercent = 40;
  static constexpr int kOtherMaxPercent = 60;

  Duration bound;
  std::optional<TimePoint> last_asked;
  std::optional<Duration> age;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_PROOF_SCHEDULE_H_
