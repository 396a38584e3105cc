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

  // The targets that count towards the limit of half: those not draining. Forgets
  // all others and ends the ejections that end soonest while there are more than half.
  void SetTargets(TimePoint now, std::span<const std::string_view> addresses);

  // Returns whether the target was ejected by this failure.
  bool RecordFailure(TimePoint now, std::string_view address, std::uint32_t consecutive_failures);
  void RecordSuccess(std::string_view address);

  bool IsEjected(TimePoint now, std::string_view address) const;

  // Whether the target has returned from an ejection and has not succeeded since.
  bool IsOnProbation(TimePoint now, std::string_view address) const;

  std::size_t CountEjected(TimePoint now) const;

 private:
  struct Entry {
    TimePoint ejected_until;
    Duration length{0};
    bool ejected = false;  // since its last success
  };

  void EndSurplusEjections(TimePoint now);
  std::size_t GetEjectionLimit() const { return this->entries.size() / 2; }

  std::map<std::string, Entry, std::less<>> entries;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_EJECTOR_H_
