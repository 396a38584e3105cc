#include "Tool/tool_options.h"

#include <getopt.h>

#include <charconv>
#include <cstring>

namespace lacewingbridge {

const char kToolUsage[] =
    "usage: lacewingctl [options] COMMAND\n"
    "commands:\n"
    "  check FILE         report all errors of a rules file; needs no daemon\n"
    "  submit FILE        submit a rules file; --base names the version that was edited\n"
    "  rules              print the rules in force, as a base for an edit\n"
    "  status             version in force by data centre, who lags and since when\n"
    "  explain METHOD PATH  which rule applies, who asked for it, which target and why\n"
    "  dump               state of the daemon\n"
    "  drain              let the daemon of a host leave\n"
    "  digest             print the digest of the API key on the standard input\n"
    "options:\n"
    "  -d, --daemon IP:PORT   control address of a daemon (default 127.0.0.1:7500)\n"
    "  -o, --operator NAME    who submits (default: the user's login name)\n"
    "  -b, --base NUMBER      version that the file was edited from (0: none yet)\n"
    "  -i, --submission-id ID ask for the outcome of an earlier submission\n"
    "  -W, --workspace NAME   with explain: the request has a key of this workspace\n"
    "  -w, --wait             with submit and status: until in force everywhere\n"
    "  -t, --timeout SECONDS  limit for --wait (default 30)\n"
    "  -j, --json             print the daemon's answer as JSON\n"
    "  -h, --help             show this text\n"
    "exit codes: 0 done, 1 failed, 2 wrong use, 3 rules invalid, 4 conflict,\n"
    "            5 outcome not yet known, 6 time limit passed\n";

namespace {

template <typename Number>
bool ParseNumber(const char* text, Number& number) {
  const char* end = text + std::strlen(text);
  const auto [stop, code] = std::from_chars(text, end, number);
  return code == std::errc() && stop == end && stop != text;
}

Error MakeUsageError(const std::string& what) { return {ErrorKind::kInvalidArgument, what}; }

// Applies one option; returns false when its value is not valid.
bool ApplyOption(int choice, const char* value, ToolOptions& options) {
  std::uint64_t base = 0;
  switch (choice) {
    case 'd':
      options.daemon = value;
      return true;
    case 'o':
      options.operator_name = value;
      return true;
    case 'i':
      options.submission_id = value;
      return true;
    case 'W':
      options.workspace = value;
      return true;
    case 'b':
      options.base = ParseNumber(value, base) ? std::optional(base) : std::nullopt;
      return options.base.has_value();
    case 't':
      return ParseNumber(value, options.timeout_seconds);
    case 'j':
      options.json = true;
      return true;
    case 'w':
      options.wait = true;
      return true;
    case 'h':
      options.help = true;
      return true;
    default:
      return false;
  }
}

}  // namespace

Result<ToolOptions> ToolOptions::Parse(int argc, char** argv) {
  const option table[] = {{"daemon", required_argument, nullptr, 'd'},
                          {"operator", required_argument, nullptr, 'o'},
                          {"base", required_argument, nullptr, 'b'},
                          {"submission-id", required_argument, nullptr, 'i'},
                          {"workspace", required_argument, nullptr, 'W'},
                          {"timeout", required_argument, nullptr, 't'},
                          {"json", no_argument, nullptr, 'j'},
                          {"wait", no_argument, nullptr, 'w'},
                          {"help", no_argument, nullptr, 'h'},
                          {nullptr, 0, nullptr, 0}};
  ToolOptions options;
  int choice = 0;
  opterr = 0;
  while ((choice = getopt_long(argc, argv, "d:o:b:i:W:t:jwh", table, nullptr)) != -1) {
    if (!ApplyOption(choice, optarg, options)) {
      return MakeUsageError(std::string("option ") + argv[optind - 1] +
                            " is unknown, or its value is missing or not valid");
    }
  }
  if (optind < argc) {
    options.command = argv[optind];
    options.arguments.assign(argv + optind + 1, argv + argc);
  }
  if (options.command.empty() && !options.help) {
    return MakeUsageError("no command was given; see lacewingctl --help");
  }
  return options;
}

}  // namespace lacewingbridge
