#include "Rules/rules_line_matching.h"

#include <algorithm>
#include <limits>
#include <unordered_map>

namespace lacewingbridge {

namespace {

using Lines = std::span<const std::string_view>;

constexpr std::size_t kNone = std::numeric_limits<std::size_t>::max();

// Positions of the same line in the old and the new text.
struct Pair {
  std::size_t old_index;
  std::size_t new_index;
};

// How often a line occurs in each text, and its last position in the new one.
struct Occurrences {
  std::size_t old_count = 0;
  std::size_t new_count = 0;
  std::size_t new_index = 0;
};

// Returns the lines that occur exactly once in each text, in the order of the old text.
std::vector<Pair> FindUniquePairs(Lines old_lines, Lines new_lines) {
  std::unordered_map<std::string_view, Occurrences> table;
  table.reserve(old_lines.size());
  for (std::string_view line : old_lines) {
    ++table[line].old_count;
  }
  for (std::size_t i = 0; i < new_lines.size(); ++i) {
    const auto position = table.find(new_lines[i]);
    if (position != table.end()) {
      ++position->second.new_count;
      position->second.new_index = i;
    }
  }
  std::vector<Pair> pairs;
  for (std::size_t i = 0; i < old_lines.size(); ++i) {
    const Occurrences& found = table[old_lines[i]];
    if (found.old_count == 1 && found.new_count == 1) {
      pairs.push_back({i, found.new_index});
    }
  }
  return pairs;
}

// Returns the longest subsequence of the pairs whose positions ascend in the new text as well.
std::vector<Pair> SelectAscending(std::span<const Pair> pairs) {
  // ends[n] is the pair that ends an ascending subsequence of n + 1 pairs. Of all such pairs it has
  // the lowest index in the new text.
  std::vector<std::size_t> ends;
  std::vector<std::size_t> previous(pairs.size(), kNone);
  for (std::size_t i = 0; i < pairs.size(); ++i) {
    const auto position = std::lower_bound(
        ends.begin(), ends.end(), pairs[i].new_index,
        [&](std::size_t pair, std::size_t new_index) { return pairs[pair].new_index < new_index; });
    previous[i] = position == ends.begin() ? kNone : *(position - 1);
    if (position == ends.end()) {
      ends.push_back(i);
    } else {
      *position = i;
    }
  }
  std::vector<Pair> selected(ends.size());
  std::size_t pair = ends.empty() ? kNone : ends.back();
  for (std::size_t i = ends.size(); i > 0; --i) {
    selected[i - 1] = pairs[pair];
    pair = previous[pair];
  }
  return selected;
}

std::size_t CountCommonPrefix(Lines old_lines, Lines new_lines) {
  const std::size_t limit = std::min(old_lines.size(), new_lines.size());
  std::size_t count = 0;
  while (count < limit && old_lines[count] == new_lines[count]) {
    ++count;
  }
  return count;
}

std::size_t CountCommonSuffix(Lines old_lines, Lines new_lines) {
  const std::size_t limit = std::min(old_lines.size(), new_lines.size());
  std::size_t count = 0;
  while (count < limit &&
         old_lines[old_lines.size() - 1 - count] == new_lines[new_lines.size() - 1 - count]) {
    ++count;
  }
  return count;
}

}  // namespace

std::vector<LineRun> MatchLines(Lines old_lines, Lines new_lines) {
  const std::size_t prefix = CountCommonPrefix(old_lines, new_lines);
  const std::size_t suffix =
      CountCommonSuffix(old_lines.subspan(prefix), new_lines.subspan(prefix));
  const Lines old_middle = old_lines.subspan(prefix, old_lines.size() - prefix - suffix);
  const Lines new_middle = new_lines.subspan(prefix, new_lines.size() - prefix - suffix);
  std::vector<LineRun> runs = {{0, 0, prefix}};
  // End of the last run in old_middle and new_middle.
  std::size_t old_end = 0;
  std::size_t new_end = 0;
  for (const Pair& pair : SelectAscending(FindUniquePairs(old_middle, new_middle))) {
    if (pair.old_index < old_end) {
      continue;  // The pair is already part of the last run.
    }
    const std::size_t before =
        CountCommonSuffix(old_middle.subspan(old_end, pair.old_index - old_end),
                          new_middle.subspan(new_end, pair.new_index - new_end));
    const std::size_t after =
        CountCommonPrefix(old_middle.subspan(pair.old_index), new_middle.subspan(pair.new_index));
    runs.push_back(
        {prefix + pair.old_index - before, prefix + pair.new_index - before, before + after});
    old_end = pair.old_index + after;
    new_end = pair.new_index + after;
  }
  runs.push_back({old_lines.size() - suffix, new_lines.size() - suffix, suffix});
  return runs;
}

}  // namespace lacewingbridge
