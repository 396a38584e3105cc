#ifndef LACEWINGBRIDGE_SOURCE_STORE_WATCH_SILENCE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_WATCH_SILENCE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// Detects that the response to a watch of the store was lost. It is designed for this load: the
// store gives one host no response for a moment, and the event of its pending watch falls into it.
// The connection stays open and returns nothing further, and other calls succeed.
//
// The store responds to a watch as soon as there is a change after the position of the watch. A
// watch is silent if it is still pending a while after this daemon got to know of such a change
// from another daemon. `Position` is a StorePosition, or the version of the route table.
template <typename Position = std::uint64_t>
class WatchSilence {
 public:
  // Time in which a slow store responds and the response arrives over a busy link.
  static constexpr Duration kResponseTime = std::chrono::seconds(2);

  // Records that a watch for changes after the position was sent.
  void Begin(TimePoint now, Position position) {
    this->pending_since = now;
    this->watched_after = position;
  }
  // Records that the watch has ended.
  void End() { this->pending_since.reset(); }

  // Records that another daemon knows a change at the position.
  void RecordChange(TimePoint now, Position position) {
    if (this->newest_change < position) {
      this->newest_change = position;
      this->changed_at = now;
    }
  }

  // Returns whether the pending watch is silent. Returns true once for each change, so that a
  // change that the store does not list causes no further calls.
  bool TakeSilence(TimePoint now) {
    const bool missing =
        this->pending_since.has_value() && this->watched_after < this->newest_change;
    if (!missing || !(this->reported < this->newest_change) ||
        now - std::max(*this->pending_since, this->changed_at) < kResponseTime) {
      return false;
    }
    this->reported = this->newest_change;
    return true;
  }

  Position GetWatchedAfter() const { return this->watched_after; }
  Position GetNewestChange() const { return this->newest_change; }

 private:
  std::optional<TimePoint> pending_since;
  Position watched_after{};
  Position newest_change{};
  TimePoint changed_at;
  // Position of the newest change for which TakeSilence has returned true.
  Position reported{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_WATCH_SILENCE_H_
