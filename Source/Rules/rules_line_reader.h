#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_

namespace lacewingbridge {

class RulesReport;
struct RulesDraft;
struct RulesLine;

// Reads one rule line into the draft.
class RulesLineReader {
 public:
  // Reports what is wrong within the line; a rule with a name is added in any case, so
  // that a reference to it causes no further report.
  static void ReadRule(const RulesLine& line, RulesDraft& draft, RulesReport& report);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_LINE_READER_H_
