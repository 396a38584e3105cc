#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "Core/time_point.h"
#include "Membership/target_announcement.h"
#include "mesh.h"

namespace lacewingbridge {

enum class AnnouncementVerdict {
  kCurrent,  // the newest word of the present start of the target
  kStale,    // of an earlier start, overtaken by a newer one, or of a target that left
  kWrongService,
};

// The target beside this daemon: which start of it runs and whether it takes new work.
//
// A target that drains or has left never becomes usable again under the same start. After
// a restart of the daemon an announcement may arrive that was sent before the target left,
// so no announcement makes a target usable before its own health answer has.
class LocalTarget {
 public:
  // Time between two health checks of a target whose state is not proved.
  static constexpr Duration kProofInterval = std::chrono::milliseconds(400);
  // A refused connection makes the target unusable for this long; a target that restarts
  // announces itself, and one that only ran out of connections accepts again soon.
  static constexpr Duration kRefusedPause = std::chrono::milliseconds(300);

  explicit LocalTarget(std::string_view service_name) : service(service_name) {}

  AnnouncementVerdict NoteAnnouncement(const TargetAnnouncement& announcement);
  // The target has said that it leaves. Born 0 means the start that is known by the id.
  void NoteLeft(std::string_view id, std::uint64_t born_unix_ms);
  // The store's record, written by an earlier process of this host.
  void NoteRecord(const LocalTargetRecord& record);

  // Whether the target's health has to be checked now; counts as the start of the check.
  bool TakeProofTurn(TimePoint now);
  // Answer to a health check. An id that differs from the announced one proves nothing.
  void NoteHealth(bool healthy, std::string_view id, std::uint32_t slots);

  void NoteConnectionRefused(TimePoint now) { this->refused_until = now + kRefusedPause; }

  bool IsAccepting(TimePoint now) const;
  // Empty until a target is known.
  const std::string& GetId() const { return this->id; }
  const std::string& GetService() const { return this->service; }
  // Unix milliseconds of the target's start, by its own clock; 0 while it is not known.
  std::uint64_t GetBorn() const { return this->born_unix_ms; }
  std::uint32_t GetSlots() const { return this->slots; }
  LocalTargetRecord MakeRecord() const;

 private:
  // Starts that have left and are remembered against late announcements.
  static constexpr std::size_t kMaxDeparted = 16;

  struct Departed {
    std::string id;
    std::uint64_t born_unix_ms = 0;
  };

  bool IsDeparted(std::string_view target_id, std::uint64_t born) const;
  void BeginStart(const TargetAnnouncement& announcement);

  std::string service;
  std::string id;
  std::uint64_t born_unix_ms = 0;
  std::uint64_t sequence = 0;
  std::uint32_t slots = 0;
  bool leaving = false;
  bool proved = false;
  TimePoint proof_at;
  TimePoint refused_until;
  std::deque<Departed> departed;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_LOCAL_TARGET_H_
