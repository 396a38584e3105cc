#include "Rules/rules_difference.h"

#include <cstddef>

#include "Rules/rules_delta.h"
#include "rules.h"

namespace lacewingbridge {

namespace {

// Removes the first line from the text and returns it, including its line end.
std::string_view TakeLine(std::string_view& text) {
  const std::size_t end = text.find('\n');
  const std::size_t size = end == std::string_view::npos ? text.size() : end + 1;
  const std::string_view line = text.substr(0, size);
  text.remove_prefix(size);
  return line;
}

// Collects lines with their "-" or "+" mark, up to the limit, and counts the lines beyond it.
class DifferenceText {
 public:
  void AddLine(char mark, std::string_view line) {
    if (this->line_count++ >= RulesDifference::kMaxLines) {
      return;
    }
    this->text += mark;
    this->text += line;
    if (line.empty() || line.back() != '\n') {
      this->text += '\n';
    }
  }

  std::string TakeText() {
    if (this->line_count > RulesDifference::kMaxLines) {
      this->text += "... " + std::to_string(this->line_count - RulesDifference::kMaxLines) +
                    " more lines differ\n";
    }
    return std::move(this->text);
  }

 private:
  std::string text;
  std::size_t line_count = 0;
};

}  // namespace

std::string RulesDifference::Format(std::string_view first, std::string_view second) {
  DifferenceText difference;
  const RulesDeltaScript script = RulesDelta::Compute(first, second);
  for (const DeltaEdit& edit : script.edits) {
    for (std::uint32_t i = 0; i < edit.keep_lines; ++i) {
      TakeLine(first);
    }
    for (std::uint32_t i = 0; i < edit.skip_lines; ++i) {
      difference.AddLine('-', TakeLine(first));
    }
    std::string_view inserted = edit.insert_text;
    while (!inserted.empty()) {
      difference.AddLine('+', TakeLine(inserted));
    }
  }
  return difference.TakeText();
}

}  // namespace lacewingbridge
