#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

enum class TargetChoiceKind {
  kTarget,
  kNoneKnown,    // no target, or all of them are draining
  kAllFull,      // at least one usable target, all of them full
  kAllEjected,   // every target that is left is ejected
  kAllExcluded,  // every target was excluded by the caller
};

// Distance of a target from this daemon; nearer ones are chosen first.
enum class TargetDistance { kDataCentre, kRegion, kRemote };

// Result of a selection, with the facts that explain it.
struct TargetChoice {
  TargetChoiceKind kind = TargetChoiceKind::kNoneKnown;
  std::string address;
  std::string host;
  TargetDistance distance = TargetDistance::kDataCentre;
  std::uint32_t in_flight = 0;
  std::uint32_t usable_slots = 0;
  std::uint32_t candidates = 0;
  // The other target of the two that were compared; empty if there was only one.
  std::string rival_address;
  std::uint32_t rival_in_flight = 0;
  // Targets that were passed over.
  std::uint32_t full = 0;
  std::uint32_t ejected = 0;
  std::uint32_t draining = 0;
  std::uint32_t excluded = 0;
};

// One sentence for operators that says why the target was chosen or why there is none.
std::string ExplainChoice(const TargetChoice& choice);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_
