#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_REGISTRY_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_REGISTRY_H_

#include <map>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "admin.h"
#include "events.h"
#include "membership.h"

namespace lacewingbridge {

// The targets on this daemon's host, as their announcements describe them.
class TargetRegistry {
 public:
  // A target that has not renewed its announcement for this long is dropped.
  static constexpr Duration kAnnouncementLifetime = std::chrono::seconds(3);
  // More targets on one host indicate that a sender of announcements is misconfigured.
  static constexpr std::size_t kMaxTargets = 64;

  // A change of a target's state by an announcement or by the lack of one.
  struct Change {
    // The event to log, or kNone.
    Event event = Event::kNone;
    TargetRecord target;
  };

  // Returns the changes that have to be sent to other daemons. An announcement that only
  // renews the previous one returns none. New targets beyond kMaxTargets are ignored.
  std::vector<Change> Announce(const TargetAnnouncement& announcement, TimePoint now);

  // Drops targets whose announcements have expired and returns them.
  std::vector<Change> Expire(TimePoint now);

  std::vector<TargetRecord> ListTargets() const;

 private:
  struct Entry {
    TargetRecord target;
    TimePoint renewed;
  };

  std::map<std::string, Entry> entries;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_REGISTRY_H_
