#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_REPORT_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "Rules/rules_error.h"

namespace lacewingbridge {

// Collects the errors of one rules file.
class RulesReport {
 public:
  explicit RulesReport(std::string_view file);

  void AddError(std::uint32_t line, std::size_t column, std::string what, std::string remedy);

  bool IsEmpty() const { return this->errors.empty(); }

  // Removes and returns the errors, sorted by line and column. If there are more than
  // kMaxRulesErrors, one more error at the end gives the number of those that are not listed.
  std::vector<RulesError> TakeErrors();

 private:
  std::string file_name;
  std::vector<RulesError> errors;
  std::size_t omitted_count = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_REPORT_H_
