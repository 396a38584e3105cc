#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_SELECTOR_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_SELECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Routing/target_choice.h"
#include "Routing/target_ejector.h"
#include "Routing/target_endpoint.h"
#include "Routing/target_stats.h"
#include "dump.h"

namespace lacewingbridge {

// Chooses a target of one service for each request. It draws two random targets at the smallest
// distance at which there is a usable one and takes the one with the lower load. Not thread-safe;
// the caller passes the current time.
class TargetSelector {
 public:
  // The cold start is the time over which the weight of a new target grows to its full value.
  TargetSelector(std::string_view local_data_centre, std::string_view local_region,
                 Duration initial_cold_start);

  void SetColdStart(Duration new_cold_start) { this->cold_start = new_cold_start; }

  // Replaces the list of targets. The counts of a target that stays in the list are kept. A target
  // that has left the list is kept until its requests have finished.
  void UpdateTargets(TimePoint now, std::span<const TargetEndpoint> targets);

  // Chooses a target for a request. The excluded addresses are those at which the request was
  // already tried.
  template <std::uniform_random_bit_generator Random>
  TargetChoice Select(TimePoint now, Random& random, std::span<const std::string> excluded) {
    return this->SelectFor(
        now,
        [&random](std::size_t bound) {
          return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
        },
        excluded);
  }

  // ReportStart must be called once for every attempt that is sent, and ReportFinish once when it
  // has ended.
  void ReportStart(std::string_view address);
  // Returns whether this outcome ejected the target.
  bool ReportFinish(TimePoint now, std::string_view address, TargetOutcome outcome,
                    Duration latency);

  // Ejects a target whose process has died. This daemon or another one has detected it.
  void ReportDead(TimePoint now, std::string_view address);
  // Ends the ejection of a target that has announced itself after a restart.
  void ReportRestarted(std::string_view address) { this->ejector.RecordRestart(address); }

  // Returns the sum of the usable slots of the targets that are neither draining nor ejected.
  std::uint32_t CountUsableSlots(TimePoint now) const;
  // Returns the moving average of the latency of the target; zero if it is not known.
  Duration GetLatency(std::string_view address) const;
  std::vector<TargetDump> DumpTargets(TimePoint now) const;

 private:
  struct Entry {
    TargetEndpoint endpoint;
    TargetStats stats;
    TargetDistance distance = TargetDistance::kRemote;
    bool known = true;  // false once the target has left the list
  };

  template <typename Draw>
  TargetChoice SelectFor(TimePoint now, Draw draw, std::span<const std::string> excluded) {
    TargetChoice choice;
    this->CollectCandidates(now, excluded, choice);
    const std::size_t count = this->candidates.size();
    if (count == 0) {
      return choice;
    }
    const std::size_t first = draw(count);
    // The second one is drawn from the other candidates, so that the two differ.
    const std::size_t second = count == 1 ? first : (first + 1 + draw(count - 1)) % count;
    this->Compare(now, *this->candidates[first], *this->candidates[second], choice);
    return choice;
  }

  TargetDistance GetDistance(const TargetEndpoint& endpoint) const;
  std::uint32_t GetUsableSlots(TimePoint now, const Entry& entry) const;
  double GetLoad(TimePoint now, const Entry& entry) const;
  // Fills the candidates and the counts of the choice.
  void CollectCandidates(TimePoint now, std::span<const std::string> excluded,
                         TargetChoice& choice);
  void Compare(TimePoint now, const Entry& first, const Entry& second, TargetChoice& choice) const;

  std::string data_centre;
  std::string region;
  Duration cold_start;
  std::map<std::string, Entry, std::less<>> entries;
  TargetEjector ejector;
  // Candidates of the current selection. A member, so that not every selection allocates memory.
  std::vector<const Entry*> candidates;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_SELECTOR_H_
