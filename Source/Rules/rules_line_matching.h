#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_

#include <cstddef>
#include <span>
#include <string_view>
#include <vector>

namespace lacewingbridge {

// Equal lines that follow each other in both texts.
struct LineRun {
  std::size_t old_first;
  std::size_t new_first;
  std::size_t count;
};

// Runs in ascending order in both texts, the last one ending at the end of both; runs may
// be empty. Matches the common head and tail, then the lines that occur once in each text
// (patience matching) and their equal neighbours. Takes O(n log n) time, where a longest
// common subsequence would take O(n^2) for two unrelated texts of 1 MB.
std::vector<LineRun> MatchLines(std::span<const std::string_view> old_lines,
                                std::span<const std::string_view> new_lines);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_MATCHING_H_
