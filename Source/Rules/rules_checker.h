#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_CHECKER_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_CHECKER_H_

namespace lacewingbridge {

class RulesReport;
struct RulesDraft;

// Checks the conditions that concern more than one line of a rules file.
class RulesChecker {
 public:
  // Reports names that are defined twice, references to rules that do not exist, routes that accept
  // the same requests, and API keys of more than one workspace.
  static void CheckDraft(const RulesDraft& draft, RulesReport& report);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_CHECKER_H_
