#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace lacewingbridge {

class RulesReport;

// One line of a rules file, split into the words of its rule and its comment.
struct RulesLine {
  std::uint32_t number = 0;
  std::string_view text;
  // Parts of `text` before the comment. Empty for a blank line or a line with only a comment.
  std::vector<std::string_view> words;
  // Parts of the comment "# who: why". `who` is empty if the comment does not name a person.
  std::string_view who;
  std::string_view why;

  // Returns the column, in characters from 1, of a view into `text`.
  std::size_t GetColumn(std::string_view part) const;
};

// Splits a line, given without its line end, into `line`. Reports bytes that are not allowed, a
// comment without a space before it, and a rule whose comment does not name a person. The views in
// `line` refer to `text`. The storage of `line` is reused.
void SplitRulesLine(std::uint32_t number, std::string_view text, RulesLine& line,
                    RulesReport& report);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_H_
