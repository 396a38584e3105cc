#include "Rules/rules_report.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "Rules/rules_parser.h"

namespace lacewingbridge {

RulesReport::RulesReport(std::string_view file) : file_name(file) {}

void RulesReport::AddError(std::uint32_t line, std::size_t column, std::string what,
                           std::string remedy) {
  if (this->errors.size() == kMaxRulesErrors) {
    ++this->omitted_count;
    return;
  }
  this->errors.push_back({this->file_name, line, static_cast<std::uint32_t>(column),
                          std::move(what), std::move(remedy)});
}

std::vector<RulesError> RulesReport::TakeErrors() {
  std::stable_sort(this->errors.begin(), this->errors.end(),
                   [](const RulesError& left, const RulesError& right) {
                     return std::tie(left.line, left.column) < std::tie(right.line, right.column);
                   });
  if (this->omitted_count > 0) {
    const std::uint32_t line = this->errors.back().line;
    this->errors.push_back({this->file_name, line, 1,
                            std::to_string(this->omitted_count) + " more errors are not listed",
                            "correct the errors listed and check the file again"});
  }
  return std::move(this->errors);
}

}  // namespace lacewingbridge
