#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SUSPICIONS_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SUSPICIONS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "Membership/member_table.h"
#include "events.h"
#include "membership.h"

namespace lacewingbridge {

struct MemberSuspicionsOptions {
  // Time after which a suspect that has not refuted the suspicion is marked dead.
  Duration suspicion = std::chrono::seconds(5);
  // The same time after a refused connection. It is long enough for a restarted process to
  // announce its new incarnation.
  Duration refused_suspicion = std::chrono::milliseconds(500);
  // The view becomes distrusted if too many suspicions began within this time.
  Duration distrust_window = std::chrono::seconds(10);
  // Shortest time between two additional probes of the same suspect.
  Duration suspect_probe_interval = std::chrono::seconds(1);
};

struct MemberEvent {
  Event event = Event::kNone;
  // Empty for an event that concerns all members.
  std::string host;
};

// Tracks which members of this daemon's data centre are suspect and marks them dead when
// their time to refute the suspicion is over.
//
// If a large part of the data centre is suspect at once, a fault of this daemon's own network
// is more likely than that many crashes. The daemon then distrusts its view of the members
// and marks none of them dead, except those that refuse connections.
class MemberSuspicions {
 public:
  explicit MemberSuspicions(MemberSuspicionsOptions suspicions_options)
      : options(suspicions_options) {}

  // Starts a suspicion of the member in this state unless one is tracked already. Refused
  // means that a connection was refused: the operating system of the host responds, but the
  // daemon process does not run.
  void Track(const MemberRecord& record, TimePoint now, bool refused);

  // Extends all suspicions by a time during which this daemon did not run.
  void Postpone(Duration pause);

  // Drops refuted suspicions, decides whether the view is distrusted and marks members dead
  // whose time is over. Returns an event for each change.
  std::vector<MemberEvent> Tick(MemberTable& table, TimePoint now);

  // Returns the suspect that the caller has to probe next, if any, and counts it as probed.
  // Only members in the second half of their suspicion time are probed. Their refutation may
  // be delayed behind other updates in the gossip queues, and a probe gets it directly.
  std::optional<std::string> TakeSuspectToProbe(const MemberTable& table, TimePoint now);

  // Whether too many members are suspect for this daemon to mark members dead.
  bool IsDistrusted() const { return this->distrusted; }

 private:
  struct Suspicion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    // In the future for suspicions that remain when the distrust ends.
    TimePoint since;
    bool refused = false;
    // Time of the last additional probe.
    TimePoint last_probe = TimePoint::min();
  };

  void DropRefuted(const MemberTable& table);
  void CheckTrust(MemberTable& table, TimePoint now, std::vector<MemberEvent>& events);
  // Counts suspicions that began at this time or later, without refused connections.
  std::size_t CountSince(TimePoint oldest) const;
  // Whether more members are suspect than independent crashes explain.
  bool IsManySuspect(const MemberTable& table) const;
  Duration GetTimeLimit(const Suspicion& suspicion, bool many_suspect) const;

  MemberSuspicionsOptions options;
  std::map<std::string, Suspicion, std::less<>> suspicions;
  bool distrusted = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SUSPICIONS_H_
