#ifndef LACEWINGBRIDGE_SOURCE_TOOL_TOOL_OPTIONS_H_
#define LACEWINGBRIDGE_SOURCE_TOOL_TOOL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "Core/result.h"

namespace lacewingbridge {

// The command line of lacewingctl.
struct ToolOptions {
  std::string command;
  std::vector<std::string> arguments;
  std::string daemon = "127.0.0.1:7500";
  std::string operator_name;
  std::optional<std::uint64_t> base;
  std::string submission_id;
  std::string workspace;
  bool json = false;
  bool wait = false;
  std::uint32_t timeout_seconds = 30;
  bool help = false;

  // Reads getopt-style arguments; fails with kInvalidArgument.
  static Result<ToolOptions> Parse(int argc, char** argv);
};

extern const char kToolUsage[];

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TOOL_TOOL_OPTIONS_H_
