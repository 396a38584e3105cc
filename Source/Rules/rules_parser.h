#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_

#include <cstddef>
#include <string_view>
#include <variant>
#include <vector>

#include "Rules/rules_document.h"
#include "Rules/rules_error.h"

namespace lacewingbridge {

// Largest accepted rules text. The store holds values up to 1 MB; the decimal reading
// fits under either meaning of the unit.
inline constexpr std::size_t kMaxRulesBytes = 1'000'000;

// Reports beyond this count are replaced by one that gives their number: a 1 MB file of
// one-letter lines would otherwise need more memory than a daemon may use.
inline constexpr std::size_t kMaxRulesErrors = 1000;

// Turns the text of a rules file into a document, or into all of its errors in the order
// of their lines. The grammar is in docs/design.md, section 3.1.
class RulesParser {
 public:
  using ParseResult = std::variant<RulesDocument, std::vector<RulesError>>;

  static ParseResult Parse(std::string_view text, std::string_view file_name);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_PARSER_H_
