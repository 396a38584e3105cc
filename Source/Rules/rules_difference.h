#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_

#include <string>
#include <string_view>

namespace lacewingbridge {

// Shows operators how two rules texts differ.
class RulesDifference {
 public:
  // Longer differences end with a line that says so.
  static constexpr std::size_t kMaxLines = 200;

  // Lines only in the first text start with "-", lines only in the second with "+".
  // Empty when the texts are the same.
  static std::string Format(std::string_view first, std::string_view second);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DIFFERENCE_H_
