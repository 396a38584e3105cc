#include "Rules/rules_delta.h"

#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Rules/rules_line_matching.h"

namespace lacewingbridge {

namespace {

// Splits a text into lines that include their line ends.
std::vector<std::string_view> SplitLines(std::string_view text) {
  std::vector<std::string_view> lines;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    const std::size_t size = end == std::string_view::npos ? text.size() : end + 1;
    lines.push_back(text.substr(0, size));
    text.remove_prefix(size);
  }
  return lines;
}

// Removes `count` lines from the front of the text and returns them. Sets `complete` to false if
// the text has fewer lines.
std::string_view TakeLines(std::string_view& text, std::uint32_t count, bool& complete) {
  std::size_t size = 0;
  for (std::uint32_t i = 0; i < count; ++i) {
    if (size == text.size()) {
      complete = false;
      break;
    }
    const std::size_t end = text.find('\n', size);
    size = end == std::string_view::npos ? text.size() : end + 1;
  }
  const std::string_view taken = text.substr(0, size);
  text.remove_prefix(size);
  return taken;
}

}  // namespace

RulesDeltaScript RulesDelta::Compute(std::string_view parent_text, std::string_view text) {
  RulesDeltaScript script;
  script.parent.digest = ComputeDigest(parent_text);
  script.result.digest = ComputeDigest(text);
  const std::vector<std::string_view> old_lines = SplitLines(parent_text);
  const std::vector<std::string_view> new_lines = SplitLines(text);
  std::size_t old_line = 0;
  std::size_t new_line = 0;
  DeltaEdit edit;
  for (const LineRun& run : MatchLines(old_lines, new_lines)) {
    if (run.old_first != old_line || run.new_first != new_line) {
      edit.skip_lines = static_cast<std::uint32_t>(run.old_first - old_line);
      for (std::size_t i = new_line; i < run.new_first; ++i) {
        edit.insert_text += new_lines[i];
      }
      script.edits.push_back(std::move(edit));
      edit = DeltaEdit();
    }
    edit.keep_lines += static_cast<std::uint32_t>(run.count);
    old_line = run.old_first + run.count;
    new_line = run.new_first + run.count;
  }
  return script;
}

Result<std::string> RulesDelta::Apply(std::string_view parent_text,
                                      const RulesDeltaScript& script) {
  std::string result;
  std::string_view rest = parent_text;
  bool complete = true;
  for (const DeltaEdit& edit : script.edits) {
    result += TakeLines(rest, edit.keep_lines, complete);
    TakeLines(rest, edit.skip_lines, complete);
    result += edit.insert_text;
  }
  result += rest;
  if (!complete || ComputeDigest(result) != script.result.digest) {
    return Error{ErrorKind::kDigestMismatch, "the delta for " + FormatHex(script.result.digest) +
                                                 " does not apply to the parent " +
                                                 FormatHex(ComputeDigest(parent_text))};
  }
  return result;
}

}  // namespace lacewingbridge
