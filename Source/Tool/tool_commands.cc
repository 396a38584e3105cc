#include "Tool/tool_commands.h"

#include <fmt/core.h>
#include <pwd.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <string>
#include <thread>

#include "Core/digest.h"
#include "Rules/rules_document.h"
#include "Rules/rules_error.h"
#include "Rules/rules_parser.h"
#include "Tool/tool_options.h"
#include "Tool/tool_session.h"
#include "Transfer/field_syntax.h"
#include "Workspaces/bearer_key.h"
#include "admin_codec.h"

namespace lacewingbridge {

namespace {

using std::chrono::steady_clock;

// Interval between two looks at the status while --wait waits.
constexpr std::chrono::milliseconds kWaitInterval{100};

void PrintError(const Error& error) { fmt::print(stderr, "lacewingctl: {}\n", error.GetMessage()); }

int GetExitCode(const OperatorError& error) {
  if (error.kind == GetName(ErrorKind::kRulesInvalid)) {
    return kToolRulesInvalid;
  }
  if (error.kind == GetName(ErrorKind::kSubmitConflict)) {
    return kToolConflict;
  }
  return error.kind == GetName(ErrorKind::kSubmitUnknown) ? kToolOutcomeUnknown : kToolFailed;
}

// Reports the failure that an answer carries; returns whether there is none.
template <typename Reply>
bool ReportFailure(const Reply& reply, int& exit_code) {
  if (!reply.error.has_value()) {
    return false;
  }
  fmt::print(stderr, "lacewingctl: {}\n", reply.error->message);
  exit_code = GetExitCode(*reply.error);
  return true;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return Error{ErrorKind::kFileUnreadable, path};
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string GetLoginName() {
  const passwd* entry = getpwuid(geteuid());
  return entry == nullptr ? "unknown" : entry->pw_name;
}

std::string DrawSubmissionId() {
  std::random_device device;
  std::string bytes;
  for (int i = 0; i < 16; ++i) {
    bytes += static_cast<char>(device());
  }
  return FormatHex(bytes);
}

int CheckUsage(const ToolOptions& options, std::size_t argument_count) {
  if (options.arguments.size() == argument_count) {
    return kToolDone;
  }
  fmt::print(stderr, "lacewingctl: {} takes {} arguments, {} were given\n{}", options.command,
             argument_count, options.arguments.size(), kToolUsage);
  return kToolUsageError;
}

int CheckFile(const ToolOptions& options) {
  const std::string& path = options.arguments[0];
  const Result<std::string> text = ReadFile(path);
  if (!IsOk(text)) {
    PrintError(GetError(text));
    return kToolFailed;
  }
  const RulesParser::ParseResult parsed = RulesParser::Parse(GetValue(text), path);
  CheckReply reply;
  if (const auto* errors = std::get_if<std::vector<RulesError>>(&parsed)) {
    for (const RulesError& error : *errors) {
      reply.problems.push_back(
          {error.file_name, error.line, error.column, error.what, error.remedy});
      if (!options.json) {
        fmt::print(stderr, "{}\n", FormatRulesError(error));
      }
    }
  } else {
    const auto& document = std::get<RulesDocument>(parsed);
    reply.service_count = static_cast<std::uint32_t>(document.services.size());
    reply.route_count = static_cast<std::uint32_t>(document.routes.size());
    reply.limit_count = static_cast<std::uint32_t>(document.limits.size());
    reply.workspace_count = static_cast<std::uint32_t>(document.workspaces.size());
  }
  if (options.json) {
    fmt::print("{}\n", EncodeJson(reply));
  } else if (reply.problems.empty()) {
    fmt::print("{}: valid, {} services, {} routes, {} limits, {} workspaces\n", path,
               reply.service_count, reply.route_count, reply.limit_count, reply.workspace_count);
  } else {
    fmt::print(stderr, "{} errors; nothing was applied\n", reply.problems.size());
  }
  return reply.problems.empty() ? kToolDone : kToolRulesInvalid;
}

void PrintStatus(const StatusReply& status) {
  fmt::print("version {} by {} (digest {})\n", status.held.number, status.held.operator_name,
             status.held.digest_hex);
  fmt::print("in force everywhere: {}\n", status.in_force_everywhere ? "yes" : "no");
  fmt::print("store: {}\n", status.store_reachable ? "reachable" : "unreachable");
  for (const DataCentreProgress& entry : status.progress) {
    fmt::print("  {} / {}: lowest version {}, {} daemons, {} lag", entry.region, entry.data_centre,
               entry.lowest.number, entry.member_count, entry.lagging_count);
    if (entry.lagging_count > 0) {
      fmt::print(" since {} ms", entry.lagging_ms);
    }
    fmt::print(" (measured {} ms ago)\n", entry.age_ms);
  }
  for (const DisplacedVersion& version : status.displaced) {
    fmt::print("  displaced: version {} by {}; submit it again if it is still wanted\n",
               version.stamp.number, version.operator_name);
  }
}

bool IsInForce(const StatusReply& status, std::uint64_t number) {
  return status.in_force_everywhere && status.held.number >= number;
}

// Looks at the status until the version is in force everywhere or the time is over.
int WaitUntilInForce(ToolSession& session, const ToolOptions& options, std::uint64_t number) {
  const auto limit = steady_clock::now() + std::chrono::seconds(options.timeout_seconds);
  while (true) {
    const auto status = session.Decode<StatusReply>(session.GetClient().GetStatus(), &DecodeJson);
    if (IsOk(status) && IsInForce(GetValue(status), number)) {
      PrintStatus(GetValue(status));
      return kToolDone;
    }
    if (steady_clock::now() >= limit) {
      if (IsOk(status)) {
        PrintStatus(GetValue(status));
      }
      PrintError({ErrorKind::kTimeout, fmt::format("{} s", options.timeout_seconds)});
      return kToolTimeout;
    }
    std::this_thread::sleep_for(kWaitInterval);
  }
}

int SubmitFile(const ToolOptions& options) {
  const Result<std::string> text = ReadFile(options.arguments[0]);
  if (!IsOk(text)) {
    PrintError(GetError(text));
    return kToolFailed;
  }
  if (!options.base.has_value()) {
    PrintError({ErrorKind::kInvalidArgument,
                "submit needs --base with the version that the file was edited from (0 for the "
                "first one); lacewingctl status shows the version in force"});
    return kToolUsageError;
  }
  ToolSession session(options.daemon);
  const bool resumed = !options.submission_id.empty();
  const std::string id = resumed ? options.submission_id : DrawSubmissionId();
  const std::string operator_name =
      options.operator_name.empty() ? GetLoginName() : options.operator_name;
  const std::string json = session.GetClient().Submit(GetValue(text), operator_name,
                                                      std::to_string(*options.base), id, resumed);
  const auto reply = session.Decode<SubmitReply>(json, &DecodeJson);
  if (!IsOk(reply)) {
    PrintError(GetError(reply));
    fmt::print(stderr, "run the command again with --submission-id {} to learn the outcome\n", id);
    return kToolOutcomeUnknown;
  }
  if (options.json) {
    fmt::print("{}\n", json);
  }
  int exit_code = kToolDone;
  const SubmitReply& outcome = GetValue(reply);
  if (ReportFailure(outcome, exit_code)) {
    if (!outcome.difference.empty() && !options.json) {
      fmt::print("lines that differ (- in force, + yours):\n{}", outcome.difference);
    }
    return exit_code;
  }
  if (!options.json) {
    fmt::print("accepted as version {} (submission {})\n", outcome.version.number, id);
  }
  return options.wait ? WaitUntilInForce(session, options, outcome.version.number) : kToolDone;
}

int ShowStatus(const ToolOptions& options) {
  ToolSession session(options.daemon);
  if (options.wait) {
    return WaitUntilInForce(session, options, 0);
  }
  const std::string json = session.GetClient().GetStatus();
  const auto reply = session.Decode<StatusReply>(json, &DecodeJson);
  if (!IsOk(reply)) {
    PrintError(GetError(reply));
    return kToolFailed;
  }
  int exit_code = kToolDone;
  if (options.json) {
    fmt::print("{}\n", json);
  } else {
    PrintStatus(GetValue(reply));
  }
  ReportFailure(GetValue(reply), exit_code);
  return exit_code;
}

int ShowExplanation(const ToolOptions& options) {
  ToolSession session(options.daemon);
  const std::string& method = options.arguments[0];
  const std::string& path = options.arguments[1];
  const std::string json = options.workspace.empty() ? session.GetClient().Explain(method, path)
                                                     : session.GetClient().ExplainWorkspace(
                                                           method, path, options.workspace);
  const auto reply = session.Decode<ExplainReply>(json, &DecodeJson);
  if (!IsOk(reply)) {
    PrintError(GetError(reply));
    return kToolFailed;
  }
  int exit_code = kToolDone;
  const ExplainReply& explanation = GetValue(reply);
  if (options.json) {
    fmt::print("{}\n", json);
  }
  if (ReportFailure(explanation, exit_code) || options.json) {
    return exit_code;
  }
  fmt::print("route {} (line {} of version {} by {})\n  {}\n", explanation.route, explanation.line,
             explanation.version.number, explanation.version.operator_name, explanation.rule);
  fmt::print("asked for by {}{}{}\n", explanation.asked_by, explanation.reason.empty() ? "" : ": ",
             explanation.reason);
  fmt::print("access: {}\n  {}\n", explanation.access, explanation.access_reason);
  fmt::print("service {}, target {}\n  {}\n", explanation.service,
             explanation.target.empty() ? "none" : explanation.target, explanation.target_reason);
  return kToolDone;
}

int ShowRules(const ToolOptions& options) {
  ToolSession session(options.daemon);
  const std::string json = session.GetClient().GetRules();
  const auto reply = session.Decode<RulesReply>(json, &DecodeJson);
  if (!IsOk(reply)) {
    PrintError(GetError(reply));
    return kToolFailed;
  }
  int exit_code = kToolDone;
  if (options.json) {
    fmt::print("{}\n", json);
  }
  if (ReportFailure(GetValue(reply), exit_code) || options.json) {
    return exit_code;
  }
  fmt::print(stderr, "version {} by {}\n", GetValue(reply).version.number,
             GetValue(reply).version.operator_name);
  fmt::print("{}", GetValue(reply).text);
  return kToolDone;
}

// Prints the answer of a call whose only form is JSON.
int ShowJson(const std::string& json, const std::string& failure) {
  if (json.empty()) {
    PrintError({ErrorKind::kPeerUnreachable, failure});
    return kToolFailed;
  }
  fmt::print("{}\n", json);
  return kToolDone;
}

int ShowDump(const ToolOptions& options) {
  ToolSession session(options.daemon);
  const std::string json = session.GetClient().GetDump();
  return ShowJson(json, session.GetClient().GetFailure());
}

int DrainDaemon(const ToolOptions& options) {
  ToolSession session(options.daemon);
  const std::string json = session.GetClient().Drain();
  return ShowJson(json, session.GetClient().GetFailure());
}

// Reads an API key from the standard input and prints its digest for a rules file. An argument
// would show the key in the list of processes.
int PrintDigest(const ToolOptions& /*options*/) {
  std::string api_key;
  std::getline(std::cin, api_key);
  const bool has_more = std::cin.peek() != std::istream::traits_type::eof();
  // Requests with such a key count as without one; see ReadBearerKey. The HTTP library of the
  // daemon decodes percent signs, so it would read another key.
  const bool is_usable = !api_key.empty() && ReadBearerKey("Bearer " + api_key) == api_key &&
                         IsFieldText(api_key) && api_key.find('%') == std::string::npos;
  if (!is_usable || has_more) {
    PrintError(
        {ErrorKind::kInvalidArgument,
         "the standard input has to be one line with an API key, without blanks, commas, percent "
         "signs and control characters"});
    return kToolUsageError;
  }
  fmt::print("{}\n", FormatHex(ComputeSha256(api_key)));
  return kToolDone;
}

struct ToolCommand {
  std::string_view name;
  std::size_t argument_count;
  int (*run)(const ToolOptions& options);
};

constexpr ToolCommand kCommands[] = {
    {"check", 1, CheckFile},         {"submit", 1, SubmitFile},  {"status", 0, ShowStatus},
    {"explain", 2, ShowExplanation}, {"rules", 0, ShowRules},    {"dump", 0, ShowDump},
    {"drain", 0, DrainDaemon},       {"digest", 0, PrintDigest},
};

}  // namespace

int RunToolCommand(const ToolOptions& options) {
  for (const ToolCommand& command : kCommands) {
    if (command.name == options.command) {
      const int usage = CheckUsage(options, command.argument_count);
      return usage == kToolDone ? command.run(options) : usage;
    }
  }
  fmt::print(stderr, "lacewingctl: unknown command \"{}\"\n{}", options.command, kToolUsage);
  return kToolUsageError;
}

}  // namespace lacewingbridge
