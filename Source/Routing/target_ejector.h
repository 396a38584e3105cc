#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_EJECTOR_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_EJECTOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "Core/time_point.h"

namespace lacewingbridge {

// Ejects failing targets of one service: they receive no requests for a time. At most half of the
// targets are ejected at once. Not thread-safe; the caller passes the current time.
class TargetEjector {
 public:
  // Consecutive failures after which a target is ejected.
  static constexpr std::uint32_t kFailureThreshold = 5;
  // Length of the first ejection. It doubles with each further one, up to the longest ejection.
  static constexpr Duration kFirstEjection = std::chrono::seconds(1);
  static constexpr Duration kLongestEjection = std::chrono::seconds(30);
  // Length of the ejection of a target whose process has died. It is longer than the time after
  // which a target that no longer announces itself is removed.
  static constexpr Duration kDeadEjection = std::chrono::seconds(5);

  // Sets the targets that count towards the limit of half, which are those not draining. Removes
  // the ejections of all other targets. If more than half are then ejected, the ejections that
  // would end soonest end now.
  void SetTargets(TimePoint now, std::span<const std::string_view> addresses);

  // Both functions accept only targets that were passed to SetTargets. RecordFailure returns
  // whether this failure ejected the target.
  bool RecordFailure(TimePoint now, std::string_view address, std::uint32_t consecutive_failures);
  void RecordSuccess(TimePoint now, std::string_view address);

  // Ejects a target that has died and is not known to have restarted. The ejection counts towards
  // the limit of half.
  void EjectDead(TimePoint now, std::string_view address);
  // Ends the ejection of a target that has announced itself after a restart.
  void RecordRestart(std::string_view address);

  bool IsEjected(TimePoint now, std::string_view address) const;

  // Whether the ejection of the target has ended and no request has succeeded since.
  bool IsOnProbation(TimePoint now, std::string_view address) const;

  std::size_t CountEjected(TimePoint now) const;

 private:
  struct Ejection {
    TimePoint until;
    Duration length{0};
    // Applies once the ejection has ended, until a request succeeds.
    bool on_probation = true;
  };

  void EndSurplusEjections(TimePoint now);
  std::size_t GetEjectionLimit() const { return this->target_count / 2; }

  std::size_t target_count = 0;
  // Contains only current and recent ejections. Each selection looks up every target, and with 900
  // targets, look-ups in a map of all targets took most of the 280 us of a selection.
  std::map<std::string, Ejection, std::less<>> ejections;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_EJECTOR_H_
