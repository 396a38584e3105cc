#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace lacewingbridge {

// A run of `count` consecutive lines that are equal in the old and the new text. The positions of
// its first line count from 0.
struct LineRun {
  std::size_t old_first;
  std::size_t new_first;
  std::size_t count;
};

// Returns the runs of equal lines, in ascending order in both texts. The last run ends at the end
// of both texts. Runs may be empty.
//
// The common lines at the start and at the end are matched first, then the lines that occur once in
// each text and the equal lines next to them (patience diff). This takes O(n log n) time. A longest
// common subsequence would take O(n^2) for two unrelated texts of 1 MB.
std::vector<LineRun> MatchLines(std::span<const std::string_view> old_lines,
                                std::span<const std::string_view> new_lines);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_
