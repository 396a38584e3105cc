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

// Chooses a target of one service for each request: the lesser loaded of two random
// targets at the smallest distance that has a usable one.
class TargetSelector {
 public:
  TargetSelector(std::string_view local_data_centre, std::string_view local_region,
                 Duration initial_cold_start);

  void SetColdStart(Duration new_cold_start) { this->cold_start = new_cold_start; }

  // Replaces the list of targets. Counts of a target that stays are kept; one that is
  // gone is remembered until its requests have finished.
  void UpdateTargets(TimePoint now, std::span<const TargetEndpoint> targets);

  // The excluded addresses are those that this request has already tried.
  template <std::uniform_random_bit_generator Random>
  TargetChoice Select(TimePoint now, Random& random, std::span<const std::string> excluded) {
    return this->SelectFor(
        now,
        [&random](std::size_t bound) {
          return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random);
        },
        excluded);
  }

  // To be called once for every attempt that is sent, and once when it has ended.
  void ReportStart(std::string_view address);
  // Returns whether the target was ejected because of this outcome.
  bool ReportFinish(TimePoint now, std::string_view address, TargetOutcome outcome,
                    Duration latency);

  // The target has died, as this daemon or another one has found out.
  void ReportDead(TimePoint now, std::string_view address);
  // A new start of the target has announced itself.
  void ReportRestarted(std::string_view address) { this->ejector.NoteRestarted(address); }

  // Sum of the usable slots of the targets that may receive work.
  std::uint32_t CountUsableSlots(TimePoint now) const;
  // Moving latency of the target, zero if it is not known.
  Duration GetLatency(std::string_view address) const;
  std::vector<TargetDump> DumpTargets(TimePoint now) const;

 private:
  struct Entry {
    TargetEndpoint endpoint;
    TargetStats stats;
    TargetDistance distance = TargetDistance::kRemote;
    bool known = true;  // false once it has left the list
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
    // Drawn from the other candidates, so that the two differ.
    const std::size_t second = count == 1 ? first : (first + 1 + draw(count - 1)) % count;
    this->Compare(now, *this->candidates[first], *this->candidates[second], choice);
    return choice;
  }

  TargetDistance GetDistance(const TargetEndpoint& endpoint) const;
  std::uint32_t GetUsableSlots(TimePoint now, const Entry& entry) const;
  double GetLoad(TimePoint now, const Entry& entry) const;
  void CollectCandidates(TimePoint now, std::span<const std::string> excluded,
                         TargetChoice& choice);
  void Compare(TimePoint now, const Entry& first, const Entry& second, TargetChoice& choice) const;

  std::string data_centre;
  std::string region;
  Duration cold_start;
  std::map<std::string, Entry, std::less<>> entries;
  TargetEjector ejector;
  // Kept between calls to avoid an allocation for each selection.
  std::vector<const Entry*> candidates;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_SELECTOR_H_
