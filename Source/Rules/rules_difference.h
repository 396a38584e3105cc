#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace lacewingbridge {

// Formats the difference between two rules texts for operators.
class RulesDifference {
 public:
  // Limit on the lines of a difference. A longer one ends with a line that gives the number of
  // omitted lines.
  static constexpr std::size_t kMaxLines = 200;

  // Returns the lines that differ. Lines that are only in the first text start with "-", and lines
  // that are only in the second text with "+". Returns an empty string for equal texts.
  static std::string Format(std::string_view first, std::string_view second);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_
