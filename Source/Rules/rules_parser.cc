#include "Rules/rules_parser.h"

#include <algorithm>
#include <string>
#include <utility>

#include "Rules/rules_checker.h"
#include "Rules/rules_draft.h"
#include "Rules/rules_line.h"
#include "Rules/rules_line_reader.h"
#include "Rules/rules_report.h"

namespace lacewingbridge {

namespace {

// Some editors write this mark at the start of UTF-8 files. It is ignored.
constexpr std::string_view kByteOrderMark = "\xef\xbb\xbf";

// Reads all lines into the draft. Lines end with LF or CRLF.
void ReadLines(std::string_view text, RulesDraft& draft, RulesReport& report) {
  RulesLine line;
  std::uint32_t number = 0;
  std::size_t start = text.starts_with(kByteOrderMark) ? kByteOrderMark.size() : 0;
  while (start < text.size()) {
    const std::size_t end = std::min(text.find('\n', start), text.size());
    std::string_view content = text.substr(start, end - start);
    if (content.ends_with('\r')) {
      content.remove_suffix(1);
    }
    SplitRulesLine(++number, content, line, report);
    if (!line.words.empty()) {
      RulesLineReader::ReadRule(line, draft, report);
    }
    start = end + 1;
  }
}

// Moves the rules out of the entries of a draft.
template <typename Rule>
std::vector<Rule> TakeRules(std::vector<RulesDraft::Entry<Rule>>& entries) {
  std::vector<Rule> rules;
  rules.reserve(entries.size());
  for (RulesDraft::Entry<Rule>& entry : entries) {
    rules.push_back(std::move(entry.rule));
  }
  return rules;
}

}  // namespace

RulesParser::ParseResult RulesParser::Parse(std::string_view text, std::string_view file_name) {
  RulesReport report(file_name);
  if (text.size() > kMaxRulesBytes) {
    report.AddError(1, 1, "the file has " + std::to_string(text.size()) + " bytes",
                    "reduce it to at most " + std::to_string(kMaxRulesBytes) + " bytes");
    return report.TakeErrors();
  }
  RulesDraft draft;
  ReadLines(text, draft, report);
  RulesChecker::CheckDraft(draft, report);
  if (!report.IsEmpty()) {
    return report.TakeErrors();
  }
  return RulesDocument{std::string(file_name), TakeRules(draft.services), TakeRules(draft.routes),
                       TakeRules(draft.limits), TakeRules(draft.workspaces)};
}

}  // namespace lacewingbridge
