#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_FAIR_SHARE_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_FAIR_SHARE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Core/time_point.h"

namespace lacewingbridge {

// Tells how far each workspace is beyond its fair share of the target. Load pattern: one workspace
// sends several times its usual work while there is too little room for all.
//
// The use of a workspace is the slot time that it took in the last seconds while work of other
// workspaces waited, with older use counting exponentially less. Its share is the mean use of the
// workspaces. Work without a workspace is never beyond a share and is not counted.
//
// Not thread-safe; the caller passes the current time.
class FairShare {
 public:
  // Beyond this number, the half of the workspaces with the least use is forgotten.
  static constexpr std::size_t kMaxWorkspaces = 4096;

  // Slot time that the workspace has taken beyond its share.
  Duration GetExcess(TimePoint now, std::string_view workspace) const;

  // Returns the time until an excess has decayed to the given one.
  static Duration GetDecayTime(Duration excess, Duration until);

  // Adds slot time that the workspace takes while others wait. A negative time corrects an earlier
  // one that was too long.
  void AddUse(TimePoint now, std::string_view workspace, Duration slot_time);

  // Returns the number of workspaces with at least this excess, which is positive.
  std::size_t CountBeyond(TimePoint now, Duration excess) const;
  std::size_t GetWorkspaceCount() const { return this->uses.size(); }

 private:
  // Time constant of the decay. Long enough for several requests of a usual workspace, and short
  // enough that a burst is made up for in seconds.
  static constexpr Duration kDecayTime = std::chrono::seconds(5);

  struct Use {
    double seconds = 0;
    TimePoint at;

    double GetSeconds(TimePoint now) const;
    void Add(TimePoint now, double more);
  };

  // Additions between two removals of workspaces that have used next to nothing. They would lower
  // the mean.
  static constexpr std::size_t kCleanupInterval = 256;

  // Removes the workspaces with at most the given use.
  void RemoveUpTo(TimePoint now, double seconds);
  double GetMedian(TimePoint now) const;

  std::unordered_map<std::string, Use> uses;
  // Sum of all uses.
  Use total;
  std::size_t additions = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_FAIR_SHARE_H_
