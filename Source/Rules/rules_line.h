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
  // Parts of `text`; empty on blank and comment-only lines.
  std::vector<std::string_view> words;
  // Empty if the comment names no person.
  std::string_view who;
  std::string_view why;

  // Column of a part of `text`.
  std::size_t GetColumn(std::string_view part) const;
};

// Splits a line without its line end and reports bytes that no line may contain, and a
// rule without a person. It reuses the storage of the line.
void SplitRulesLine(std::uint32_t number, std::string_view text, RulesLine& line,
                    RulesReport& report);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_H_
