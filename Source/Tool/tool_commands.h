#ifndef LACEWINGBRIDGE_SOURCE_TOOL_TOOL_COMMANDS_H_
#define LACEWINGBRIDGE_SOURCE_TOOL_TOOL_COMMANDS_H_

namespace lacewingbridge {

struct ToolOptions;

// Exit codes of lacewingctl.
inline constexpr int kToolDone = 0;
inline constexpr int kToolFailed = 1;
inline constexpr int kToolUsageError = 2;
inline constexpr int kToolRulesInvalid = 3;
inline constexpr int kToolConflict = 4;
inline constexpr int kToolOutcomeUnknown = 5;
inline constexpr int kToolTimeout = 6;

// Runs the command and returns the exit code.
int RunToolCommand(const ToolOptions& options);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TOOL_TOOL_COMMANDS_H_
