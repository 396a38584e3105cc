#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_

namespace lacewingbridge {

class RulesReport;
struct RulesDraft;
struct RulesLine;

// Reads the rule of one line and adds it to a draft.
class RulesLineReader {
 public:
  // Reads a line with at least one word and reports the errors within it. A rule that has a name is
  // added even if it has errors, so that references to it are not reported as well.
  static void ReadRule(const RulesLine& line, RulesDraft& draft, RulesReport& report);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_
