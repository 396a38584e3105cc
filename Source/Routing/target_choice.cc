#include "Routing/target_choice.h"

#include <string_view>

namespace lacewingbridge {

namespace {

std::string_view DescribeDistance(TargetDistance distance) {
  switch (distance) {
    case TargetDistance::kDataCentre:
      return "same data centre";
    case TargetDistance::kRegion:
      return "same region";
    case TargetDistance::kRemote:
      return "another region";
  }
  return "unknown distance";
}

std::string_view DescribeFailure(TargetChoiceKind kind) {
  switch (kind) {
    case TargetChoiceKind::kTarget:
      return "";
    case TargetChoiceKind::kNoneKnown:
      return "no target that accepts work is known";
    case TargetChoiceKind::kAllFull:
      return "all usable targets are full";
    case TargetChoiceKind::kAllEjected:
      return "all remaining targets are ejected";
    case TargetChoiceKind::kAllExcluded:
      return "all targets were already tried";
  }
  return "";
}

std::string DescribeSkipped(const TargetChoice& choice) {
  return "; skipped: " + std::to_string(choice.full) + " full, " + std::to_string(choice.ejected) +
         " ejected, " + std::to_string(choice.draining) + " draining, " +
         std::to_string(choice.excluded) + " already tried";
}

}  // namespace

std::string ExplainChoice(const TargetChoice& choice) {
  if (choice.kind != TargetChoiceKind::kTarget) {
    return std::string(DescribeFailure(choice.kind)) + DescribeSkipped(choice);
  }
  std::string text = choice.address + " (" + std::string(DescribeDistance(choice.distance)) +
                     ") with " + std::to_string(choice.in_flight) + " in flight on " +
                     std::to_string(choice.usable_slots) + " usable slots, ";
  if (choice.compared_address.empty()) {
    text += "the only candidate";
  } else {
    text += "less loaded than " + choice.compared_address + " with " +
            std::to_string(choice.compared_in_flight) + " in flight; drawn from " +
            std::to_string(choice.candidates) + " candidates";
  }
  return text + DescribeSkipped(choice);
}

}  // namespace lacewingbridge
