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
  Duration suspicion = std::chrono::seconds(5);
  // Suspicion time after a refused connection. Leaves a restarted process time to
  // announce its new incarnation.
  Duration refused_suspicion = std::chrono::milliseconds(500);
  Duration distrust_window = std::chrono::seconds(10);
  // Time between two direct questions to the same suspect.
  Duration check_interval = std::chrono::seconds(1);
};

struct MemberEvent {
  Event event = Event::kNone;
  // Empty for events of the whole view.
  std::string host;
};

// The suspicions of the own data centre's members, when they turn into death, and
// whether there are so many that this daemon distrusts its own view.
class MemberSuspicions {
 public:
  explicit MemberSuspicions(MemberSuspicionsOptions suspicions_options)
      : options(suspicions_options) {}

  // Starts the suspicion of this record unless it runs already. Refused means that the
  // host's machine answered for a process that is gone.
  void Track(const MemberRecord& record, TimePoint now, bool refused);

  // Gives all members back time during which this daemon did not run.
  void Postpone(Duration pause);

  // Drops refuted suspicions, decides on trust and marks members dead.
  std::vector<MemberEvent> Tick(MemberTable& table, TimePoint now);

  // The suspect that should be asked directly next, if any: one in the second half of
  // its suspicion time. Its refutation may be stuck behind other news.
  std::optional<std::string> TakeCheck(const MemberTable& table, TimePoint now);

  bool IsDistrusted() const { return this->distrusted; }

 private:
  struct Suspicion {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    TimePoint since;
    bool refused = false;
    TimePoint checked = TimePoint::min();
  };

  void DropRefuted(const MemberTable& table);
  void CheckTrust(MemberTable& table, TimePoint now, std::vector<MemberEvent>& events);
  std::size_t CountSince(TimePoint oldest) const;
  bool IsManySuspect(const MemberTable& table) const;
  Duration GetTimeLimit(const Suspicion& suspicion, bool many_suspect) const;

  MemberSuspicionsOptions options;
  std::map<std::string, Suspicion, std::less<>> suspicions;
  bool distrusted = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_SUSPICIONS_H_
