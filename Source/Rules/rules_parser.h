#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "Rules/rules_document.h"
#include "Rules/rules_error.h"

namespace lacewingbridge {

// Size limit of a rules text. The store accepts values of up to 1 MB. A limit of 10^6 bytes is
// below it whether 1 MB means 10^6 or 2^20 bytes.
inline constexpr std::size_t kMaxRulesBytes = 1'000'000;

// Limit on the listed errors of a file. Errors beyond it are replaced by one that gives their
// number. Otherwise the errors of a 1 MB file of one-letter lines would need more memory than a
// daemon may use.
inline constexpr std::size_t kMaxRulesErrors = 1000;

// Parses rules files. The grammar is in docs/design.md, section 3.1.
class RulesParser {
 public:
  using ParseResult = std::variant<RulesDocument, std::vector<RulesError>>;

  // Returns the document, or the errors of the file in the order of their lines. `file_name` is
  // used in error messages only.
  static ParseResult Parse(std::string_view text, std::string_view file_name);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_
