#ifndef LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_PROGRESS_H_
#define LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Membership/member_prober.h"
#include "Membership/member_table.h"
#include "membership.h"
#include "rules.h"

namespace lacewingbridge {

struct SpreadProgressOptions {
  // A member reports a new version to the collector after a random time up to this limit.
  Duration report_jitter = std::chrono::seconds(1);
  // The collector probes lagging members after the data centre has lagged for this long, and each
  // of them again after the same time.
  Duration poll_interval = std::chrono::seconds(2);
  std::size_t polls_per_tick = 8;
  // Time between two determinations of the collector, because ranking all members at every tick
  // costs too much.
  Duration collector_interval = std::chrono::seconds(1);
  std::size_t max_data_centres = 64;
};

// A report of a data centre that is older than this does not count, since the data centre
// may hold any version by now.
inline constexpr std::uint64_t kMaxProgressAgeMs = 15000;

// Tracks which version each data centre has reached. The member that is ranked first by hash in a
// data centre is its collector: it receives the stamps of all members and publishes the lowest one.
// Not synchronized.
class SpreadProgress {
 public:
  explicit SpreadProgress(SpreadProgressOptions progress_options) : options(progress_options) {}

  // Returns the host that collects the stamps of this daemon's data centre.
  static std::string GetCollector(const MemberTable& table);

  // Records the held stamp of a datagram from the same data centre.
  void RecordStamp(const MemberTable& table, const GossipDatagram& datagram);
  // Called when this daemon holds a new version.
  void HandleHeld(const VersionStamp& stamp, TimePoint now, std::mt19937_64& random);

  // Returns the datagrams to send: a report to the collector when it is due, or, on the collector,
  // probes of lagging members. The collector also updates the progress of its data centre.
  std::vector<SendDatagram> Tick(const MemberTable& table, TimePoint now);

  // Adds the progress that another daemon reports. The entry that was measured last is kept for
  // each data centre.
  void Merge(const DataCentreProgress& progress, TimePoint now);

  // Returns all entries with their current age, ordered by data centre.
  std::vector<DataCentreProgress> List(TimePoint now) const;
  // Whether all members of a data centre hold a newer version than this one.
  bool KnowsNewer(const VersionStamp& stamp) const;
  // Whether the progress of the data centre is known and at most kMaxProgressAgeMs old.
  bool HasRecent(std::string_view data_centre, TimePoint now) const;
  // Returns the entries in turn, one for each call, because a datagram contains at most one. Empty
  // if there is no entry.
  std::optional<DataCentreProgress> GetNextEntry(TimePoint now);

 private:
  struct Entry {
    DataCentreProgress progress;
    TimePoint measured;
  };
  // The newest stamp that an incarnation of a member has reported.
  struct ReportedStamp {
    std::uint64_t incarnation = 0;
    VersionStamp stamp;
  };

  // Computes the progress of this data centre from the reported stamps.
  void Measure(const MemberTable& table, TimePoint now);
  std::vector<SendDatagram> PollLagging(const MemberTable& table, TimePoint now);
  // Determines the collector if collector_interval has passed, and removes stamps of dead members.
  void UpdateCollector(const MemberTable& table, TimePoint now);
  // Returns the last reported stamp of the member; "no version" if its current incarnation has
  // reported none.
  VersionStamp GetStamp(const MemberRecord& member) const;
  // Returns the progress of the entry with its age at this time.
  DataCentreProgress GetProgressWithAge(const Entry& entry, TimePoint now) const;

  SpreadProgressOptions options;
  VersionStamp held;
  std::string collector;
  // When the collector was last determined.
  std::optional<TimePoint> collector_checked_at;
  // When this daemon reports its stamp to the collector.
  std::optional<TimePoint> report_at;
  // On the collector: when all members last held the newest version.
  std::optional<TimePoint> complete_at;
  std::map<std::string, ReportedStamp, std::less<>> stamps;
  std::map<std::string, TimePoint, std::less<>> polled_at;
  // Progress by data centre.
  std::map<std::string, Entry, std::less<>> entries;
  std::string last_taken;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_PROGRESS_H_
