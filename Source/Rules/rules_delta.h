#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_

#include <string>
#include <string_view>

#include "Core/result.h"
#include "rules.h"

namespace lacewingbridge {

// Computes and applies line-based edit scripts, which turn a parent text into another text. Lines
// of the parent after the last edit are kept. The texts may contain any bytes.
class RulesDelta {
 public:
  // Returns the script that turns parent_text into text. It contains the digests of both texts; the
  // caller sets the version numbers. Takes O(n log n) time in the number of lines.
  static RulesDeltaScript Compute(std::string_view parent_text, std::string_view text);

  // Returns the text that the script produces from parent_text. Fails with kDigestMismatch if this
  // text does not have the digest in the script, for example because the script belongs to another
  // parent.
  static Result<std::string> Apply(std::string_view parent_text, const RulesDeltaScript& script);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_DELTA_H_
