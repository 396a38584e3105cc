#include "Rules/rules_line.h"

#include <algorithm>

#include "Rules/rules_report.h"
#include "Rules/rules_utf8.h"

namespace lacewingbridge {

namespace {

constexpr std::string_view kBlanks = " \t";

std::string_view TrimBlanks(std::string_view text) {
  const std::size_t first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return text.substr(text.size());
  }
  return text.substr(first, text.find_last_not_of(kBlanks) + 1 - first);
}

bool IsControl(char byte) {
  const auto value = static_cast<unsigned char>(byte);
  return (value < 0x20U && byte != '\t' && byte != '\0') || value == 0x7fU;
}

// Whether the text can be the name of a person: it needs at least one letter. Every non-ASCII
// character counts as a letter.
bool IsPersonName(std::string_view text) {
  return std::any_of(text.begin(), text.end(), [](char byte) {
    const auto value = static_cast<unsigned char>(byte);
    return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || value >= 0x80U;
  });
}

// Reports bytes that are not allowed in a line. Each kind of error is reported only once per line.
void CheckBytes(const RulesLine& line, RulesReport& report) {
  const std::string_view text = line.text;
  const std::size_t nul = text.find('\0');
  if (nul != std::string_view::npos) {
    report.AddError(line.number, CountColumn(text, nul), "the line contains a NUL byte",
                    "remove it; save the file as plain UTF-8 text");
  }
  const auto control = std::find_if(text.begin(), text.end(), IsControl);
  if (control != text.end()) {
    report.AddError(line.number,
                    CountColumn(text, static_cast<std::size_t>(control - text.begin())),
                    "the line contains a control character", "remove it or use a space");
  }
  const std::size_t invalid = FindInvalidUtf8(text);
  if (invalid != std::string_view::npos) {
    report.AddError(line.number, CountColumn(text, invalid), "the line is not valid UTF-8",
                    "save the file in the UTF-8 encoding");
  }
}

void SplitWords(std::string_view text, std::vector<std::string_view>& words) {
  words.clear();
  std::size_t start = text.find_first_not_of(kBlanks);
  while (start != std::string_view::npos) {
    const std::size_t end = std::min(text.find_first_of(kBlanks, start), text.size());
    words.push_back(text.substr(start, end - start));
    start = text.find_first_not_of(kBlanks, end);
  }
}

// Sets `who` and `why` of the line from the text after "#".
void SplitComment(std::string_view comment, RulesLine& line) {
  const std::size_t colon = comment.find(':');
  const std::string_view who = TrimBlanks(comment.substr(0, colon));
  line.who = IsPersonName(who) ? who : who.substr(0, 0);
  line.why =
      colon == std::string_view::npos ? std::string_view() : TrimBlanks(comment.substr(colon + 1));
}

}  // namespace

std::size_t RulesLine::GetColumn(std::string_view part) const {
  return CountColumn(this->text, static_cast<std::size_t>(part.data() - this->text.data()));
}

void SplitRulesLine(std::uint32_t number, std::string_view text, RulesLine& line,
                    RulesReport& report) {
  line.number = number;
  line.text = text;
  line.who = {};
  line.why = {};
  CheckBytes(line, report);
  const std::size_t hash = text.find('#');
  SplitWords(text.substr(0, hash), line.words);
  if (hash != std::string_view::npos) {
    SplitComment(text.substr(hash + 1), line);
  }
  if (line.words.empty()) {
    return;
  }
  if (hash != std::string_view::npos && kBlanks.find(text[hash - 1]) == std::string_view::npos) {
    report.AddError(number, CountColumn(text, hash), "no space before the comment",
                    "write a space before \"#\"; values cannot contain it");
  }
  if (line.who.empty()) {
    const std::size_t offset = hash == std::string_view::npos ? text.size() : hash;
    report.AddError(number, CountColumn(text, offset), "the rule names no person",
                    "end the line with \"# who: why\"");
  }
}

}  // namespace lacewingbridge
