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

// Takes failing targets of one service out of the choice for a time.
class TargetEjector {
 public:
  static constexpr std::uint32_t kFailureThreshold = 5;
  static constexpr Duration kFirstEjection = std::chrono::seconds(1);
  static constexpr Duration kLongestEjection = std::chrono::seconds(30);
  // Longer than the time after which a target that no longer announces itself is dropped.
  static constexpr Duration kDeadEjection = std::chrono::seconds(5);

  // The targets that count towards the limit of half: those not draining. Forgets the
  // ejections of all others and ends those that end soonest while there are too many.
  void SetTargets(TimePoint now, std::span<const std::string_view> addresses);

  // For targets named to SetTargets. Returns whether this failure ejected the target.
  bool RecordFailure(TimePoint now, std::string_view address, std::uint32_t consecutive_failures);
  void RecordSuccess(TimePoint now, std::string_view address);

  // The target has died; nothing is known of its restart. Counts towards the limit of half.
  void EjectDead(TimePoint now, std::string_view address);
  // A new start of the target has announced itself.
  void NoteRestarted(std::string_view address);

  bool IsEjected(TimePoint now, std::string_view address) const;

  // Whether the target has returned from an ejection and has not succeeded since.
  bool IsOnProbation(TimePoint now, std::string_view address) const;

  std::size_t CountEjected(TimePoint now) const;

 private:
  struct Ejection {
    TimePoint until;
    Duration length{0};
    bool on_probation = true;  // once it has ended, until the target succeeds
  };

  void EndSurplusEjections(TimePoint now);
  std::size_t GetEjectionLimit() const { return this->target_count / 2; }

  std::size_t target_count = 0;
  // Current and recent ejections only: each selection looks up every target, and among
  // 900 targets look-ups in a map of all of them took most of its 280 us.
  std::map<std::string, Ejection, std::less<>> ejections;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_EJECTOR_H_
