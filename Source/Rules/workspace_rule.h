#ifndef LACEWINGBRIDGE_SOURCE_RULES_WORKSPACE_RULE_H_
#define LACEWINGBRIDGE_SOURCE_RULES_WORKSPACE_RULE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace lacewingbridge {

// A "workspace NAME ..." line of the rules: callers that present one of these API keys belong to
// the workspace.
struct WorkspaceRule {
  std::string name;
  // Digests of the API keys; see ComputeDigest. The file holds no key.
  std::vector<std::string> key_digests;
  // Number of the line in the file.
  std::uint32_t line = 0;
  // The comment of the line, "# who: why": the person responsible for the rule, and the reason.
  std::string who;
  std::string why;

  bool operator==(const WorkspaceRule&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_WORKSPACE_RULE_H_
