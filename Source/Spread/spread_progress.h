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
  // Members report a new version to the collector within this time, at random.
  Duration report_jitter = std::chrono::seconds(1);
  // The collector asks a member again that is behind for this long.
  Duration poll_interval = std::chrono::seconds(2);
  std::size_t polls_per_tick = 8;
  // Ranking all members is too costly for every tick.
  Duration collector_interval = std::chrono::seconds(1);
  std::size_t max_data_centres = 64;
};

// How far each data centre has got. The member ranked first by hash in a data centre
// is its collector: it knows the stamp of each member and publishes the lowest one.
class SpreadProgress {
 public:
  explicit SpreadProgress(SpreadProgressOptions progress_options) : options(progress_options) {}

  // Host that collects the stamps of its data centre.
  static std::string GetCollector(const MemberTable& table);

  // Records the held stamp of a datagram from the own data centre.
  void RecordStamp(const MemberTable& table, const GossipDatagram& datagram);
  // This daemon holds a new version.
  void HandleHeld(const VersionStamp& stamp, TimePoint now, std::mt19937_64& random);

  // Reports to the collector, or as the collector measures and asks silent members.
  std::vector<SendDatagram> Tick(const MemberTable& table, TimePoint now);

  // Keeps the youngest entry of each data centre.
  void Merge(const DataCentreProgress& progress, TimePoint now);

  // Entries with their age, ordered by data centre.
  std::vector<DataCentreProgress> List(TimePoint now) const;
  // One entry after the other, so that a datagram carries no more than one.
  std::optional<DataCentreProgress> TakeNext(TimePoint now);

 private:
  struct Entry {
    DataCentreProgress progress;
    TimePoint measured;
  };
  struct HeardStamp {
    std::uint64_t incarnation = 0;
    VersionStamp stamp;
  };

  void Measure(const MemberTable& table, TimePoint now);
  std::vector<SendDatagram> PollLagging(const MemberTable& table, TimePoint now);
  void UpdateCollector(const MemberTable& table, TimePoint now);
  VersionStamp GetStamp(const MemberRecord& member) const;
  DataCentreProgress Age(const Entry& entry, TimePoint now) const;

  SpreadProgressOptions options;
  VersionStamp held;
  std::string collector;
  std::optional<TimePoint> collector_checked;
  std::optional<TimePoint> report_at;
  std::optional<TimePoint> complete_at;
  std::map<std::string, HeardStamp, std::less<>> stamps;
  std::map<std::string, TimePoint, std::less<>> polled_at;
  std::map<std::string, Entry, std::less<>> entries;
  std::string last_taken;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_PROGRESS_H_
