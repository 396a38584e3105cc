#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// Whether a target was chosen, and the reason if none was.
enum class TargetChoiceKind {
  kTarget,
  kNoneKnown,    // there is no target, or all targets are draining
  kAllFull,      // there are usable targets, but all of them are full
  kAllEjected,   // every target that is not excluded is ejected
  kAllExcluded,  // the caller excluded every target
};

// Distance of a target from this daemon; nearer ones are chosen first.
enum class TargetDistance { kDataCentre, kRegion, kRemote };

// Result of a selection, with the data that explains it.
struct TargetChoice {
  TargetChoiceKind kind = TargetChoiceKind::kNoneKnown;
  std::string address;
  std::string host;
  TargetDistance distance = TargetDistance::kDataCentre;
  std::uint32_t in_flight = 0;
  std::uint32_t usable_slots = 0;
  std::uint32_t candidates = 0;
  // The other one of the two targets that were compared; empty if there was only one candidate.
  std::string compared_address;
  std::uint32_t compared_in_flight = 0;
  // Numbers of targets that were not candidates, by reason.
  std::uint32_t full = 0;
  std::uint32_t ejected = 0;
  std::uint32_t draining = 0;
  std::uint32_t excluded = 0;
};

// Returns a sentence for operators that explains why the target was chosen or why there is none.
std::string ExplainChoice(const TargetChoice& choice);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_CHOICE_H_
