#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_

#include <string>
#include <string_view>

#include "Core/result.h"
#include "rules.h"

namespace lacewingbridge {

// Line-based edit scripts between two texts. Lines of the parent after the last edit are
// kept. Any bytes are accepted.
class RulesDelta {
 public:
  // The script holds both digests; the caller sets the version numbers. Takes
  // O(n log n) time in the number of lines.
  static RulesDeltaScript Compute(std::string_view parent_text, std::string_view text);

  // kDigestMismatch if the script does not yield the text it promises, for example
  // because it belongs to another parent.
  static Result<std::string> Apply(std::string_view parent_text, const RulesDeltaScript& script);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_
