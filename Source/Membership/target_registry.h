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

// The targets on this daemon's own host, as they announce themselves.
class TargetRegistry {
 public:
  // A target that has not renewed its announcement for this long is dropped.
  static constexpr Duration kAnnouncementLifetime = std::chrono::seconds(3);
  // More targets on one host point to a misconfigured announcer.
  static constexpr std::size_t kMaxTargets = 64;

  // What an announcement or the passing of time changed.
  struct Change {
    Event event = Event::kNone;
    TargetRecord target;
  };

  // Returns the changes that other daemons have to learn; a mere renewal changes
  // nothing. Announcements above kMaxTargets are ignored.
  std::vector<Change> Announce(const TargetAnnouncement& announcement, TimePoint now);

  // Drops targets whose announcements have lapsed.
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
