// lacewingctl: the operators' command-line tool.
#include <fmt/core.h>

#include "Tool/tool_commands.h"
#include "Tool/tool_options.h"

int main(int argc, char** argv) {
  const auto options = lacewingbridge::ToolOptions::Parse(argc, argv);
  if (!lacewingbridge::IsOk(options)) {
    fmt::print(stderr, "lacewingctl: {}\n", lacewingbridge::GetError(options).GetMessage());
    return lacewingbridge::kToolUsageError;
  }
  if (lacewingbridge::GetValue(options).help) {
    fmt::print("{}", lacewingbridge::kToolUsage);
    return lacewingbridge::kToolDone;
  }
  return lacewingbridge::RunToolCommand(lacewingbridge::GetValue(options));
}
