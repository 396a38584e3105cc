#include "Daemon/admin_service.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Daemon/daemon.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/request_access.h"
#include "Daemon/request_path.h"
#include "Daemon/submit_runner.h"
#include "Observe/event_log.h"
#include "Rules/rules_delta.h"
#include "Rules/rules_difference.h"
#include "Rules/rules_document.h"
#include "Rules/rules_error.h"
#include "Rules/rules_parser.h"
#include "Version/route_snapshot.h"
#include "admin_codec.h"
#include "dump_codec.h"

namespace lacewingbridge {

namespace {

OperatorError MakeOperatorError(const Error& error) {
  return {std::string(GetName(error.kind)), error.GetMessage()};
}

VersionSummary MakeSummary(const RulesVersion& version) {
  return {version.stamp.number, FormatHex(version.stamp.digest), version.operator_name,
          version.accepted_unix_ms};
}

VersionSummary MakeSummary(const RulesHead& head) {
  return {head.stamp.number, FormatHex(head.stamp.digest), head.operator_name,
          head.accepted_unix_ms};
}

// Submits one text of rules through this daemon and builds the reply to the operator.
class Submission {
 public:
  Submission(Daemon& owner, std::string rules_text, std::string submitting_operator, std::string id)
      : daemon(owner),
        text(std::move(rules_text)),
        operator_name(std::move(submitting_operator)),
        submission_id(std::move(id)) {}

  // Blocks until the submission has an outcome. base_number is the version that the operator
  // edited; resumed tells that an earlier process may have submitted the same id.
  SubmitReply Run(std::uint64_t base_number, bool resumed) {
    this->reply.submission_id = this->submission_id;
    if (!this->CheckRules()) {
      return this->reply;
    }
    SubmitRequest request;
    request.submission_id = this->submission_id;
    request.operator_name = this->operator_name;
    request.base.number = base_number;
    request.text = this->text;
    request.accepted_unix_ms = GetUnixMilliseconds();
    request.resumed = resumed;
    this->AddDelta(request);
    Result<SubmitProcess> process = SubmitProcess::Create(std::move(request), {}, GetNow());
    if (!IsOk(process)) {
      this->Fail(GetError(process));
      return this->reply;
    }
    const SubmitOutcome outcome =
        SubmitRunner<StoreHttpClient>::Run(this->daemon.GetStore(), GetValue(process), SleepUntil);
    std::visit([this](const auto& one) { this->Finish(one); }, outcome);
    return this->reply;
  }

 private:
  static void SleepUntil(TimePoint time) {
    std::mutex mutex;
    std::condition_variable never_notified;
    std::unique_lock lock(mutex);
    never_notified.wait_until(lock, ToSteadyTime(time), [time] { return GetNow() >= time; });
  }

  // Returns false and sets the error of the reply when the text does not parse.
  bool CheckRules() {
    const RulesParser::ParseResult parsed = RulesParser::Parse(this->text, "rules");
    const auto* errors = std::get_if<std::vector<RulesError>>(&parsed);
    if (errors == nullptr) {
      return true;
    }
    this->Fail({ErrorKind::kRulesInvalid, FormatRulesError(errors->front())});
    return false;
  }

  // Adds the delta from the base to the text, if this daemon holds the base.
  void AddDelta(SubmitRequest& request) const {
    const std::shared_ptr<const RulesVersion> held = this->daemon.GetRules().GetHeld();
    if (held == nullptr || held->stamp.number != request.base.number) {
      return;
    }
    RulesDeltaScript delta = RulesDelta::Compute(held->text, this->text);
    delta.parent = held->stamp;
    delta.result.number = held->stamp.number + 1;
    delta.origin = {this->submission_id, this->operator_name, request.accepted_unix_ms};
    request.base = held->stamp;
    request.delta_encoded_bytes = Encode(delta).size();
    request.delta = std::move(delta);
  }

  void Fail(const Error& error) {
    this->reply.error = MakeOperatorError(error);
    EventLog::Write(Event::kSubmissionRefused, "id={} operator={} {}", this->submission_id,
                    this->operator_name, GetName(error.kind));
  }

  void Finish(const SubmitAccepted& outcome) {
    this->reply.version = {outcome.stamp.number, FormatHex(outcome.stamp.digest),
                           this->operator_name, GetUnixMilliseconds()};
    EventLog::Write(Event::kSubmissionAccepted, "id={} operator={} number={}", this->submission_id,
                    this->operator_name, outcome.stamp.number);
    // A resumed submission may be older than the version in force. The offer is then ignored.
    if (outcome.stamp.digest == ComputeDigest(this->text)) {
      RulesVersion version;
      version.stamp = outcome.stamp;
      // The parent is known only when this daemon holds the version that was edited.
      const auto held = this->daemon.GetRules().GetHeld();
      if (held != nullptr && held->stamp.number + 1 == outcome.stamp.number) {
        version.parent = held->stamp;
      }
      version.submission_id = this->submission_id;
      version.operator_name = this->operator_name;
      version.accepted_unix_ms = this->reply.version.accepted_unix_ms;
      version.text = this->text;
      this->daemon.OfferVersion(std::move(version));
    }
  }

  void Finish(const SubmitConflict& outcome) {
    std::string detail = "the store holds no version; submit with base 0";
    if (outcome.winner.has_value()) {
      const RulesHead& winner = *outcome.winner;
      this->reply.version = MakeSummary(winner);
      detail =
          fmt::format("version {} by {} is in force", winner.stamp.number, winner.operator_name);
      this->AddDifference(winner);
    }
    this->Fail({ErrorKind::kSubmitConflict, detail});
  }

  void Finish(const SubmitStoreUnavailable& /*outcome*/) {
    this->Fail({ErrorKind::kStoreUnavailable, this->daemon.GetSettings().store_address});
  }

  void Finish(const SubmitOutcomeUnknown& /*outcome*/) {
    this->Fail({ErrorKind::kSubmitUnknown, "submission id " + this->submission_id});
  }

  // Adds the difference between the accepted version and the submitted text to the reply.
  void AddDifference(const RulesHead& winner) {
    const Result<RulesVersion> theirs = ReadVersion(this->daemon.GetStore(), winner);
    if (IsOk(theirs)) {
      this->reply.difference = RulesDifference::Format(GetValue(theirs).text, this->text);
    }
  }

  Daemon& daemon;
  std::string text;
  std::string operator_name;
  std::string submission_id;
  SubmitReply reply;
};

SubmitReply Submit(Daemon& daemon, const std::string& text, const std::string& operator_name,
                   const std::string& base_number, const std::string& submission_id, bool resumed) {
  SubmitReply reply;
  std::uint64_t base = 0;
  const auto [end, code] =
      std::from_chars(base_number.data(), base_number.data() + base_number.size(), base);
  const bool valid = code == std::errc() && end == base_number.data() + base_number.size() &&
                     !operator_name.empty() && !submission_id.empty();
  if (!valid) {
    reply.error = MakeOperatorError(
        {ErrorKind::kInvalidArgument,
         "base_number must be a whole number; operator_name and submission_id must not be empty"});
    return reply;
  }
  return Submission(daemon, text, operator_name, submission_id).Run(base, resumed);
}

CheckReply Check(const std::string& text, const std::string& file_name) {
  CheckReply reply;
  const RulesParser::ParseResult parsed = RulesParser::Parse(text, file_name);
  if (const auto* errors = std::get_if<std::vector<RulesError>>(&parsed)) {
    for (const RulesError& error : *errors) {
      reply.problems.push_back(
          {error.file_name, error.line, error.column, error.what, error.remedy});
    }
    return reply;
  }
  const auto& document = std::get<RulesDocument>(parsed);
  reply.service_count = static_cast<std::uint32_t>(document.services.size());
  reply.route_count = static_cast<std::uint32_t>(document.routes.size());
  reply.limit_count = static_cast<std::uint32_t>(document.limits.size());
  reply.workspace_count = static_cast<std::uint32_t>(document.workspaces.size());
  return reply;
}

// Whether all members of the data centre hold the version or a newer one.
bool HasVersion(const DataCentreProgress& entry, const VersionStamp& stamp) {
  return entry.lagging_count == 0 && entry.member_count > 0 && entry.age_ms <= kMaxProgressAgeMs &&
         !IsNewer(stamp, entry.lowest);
}

// Whether every data centre that has members reported that all its members hold the version.
bool IsInForceEverywhere(std::span<const DataCentreProgress> progress,
                         std::span<const MemberRecord> members, const VersionStamp& stamp) {
  std::set<std::string_view> complete;
  for (const DataCentreProgress& entry : progress) {
    if (HasVersion(entry, stamp)) {
      complete.insert(entry.data_centre);
    }
  }
  return std::all_of(members.begin(), members.end(), [&complete](const MemberRecord& member) {
    return complete.contains(member.data_centre);
  });
}

StatusReply GetStatus(Daemon& daemon) {
  StatusReply reply;
  const std::shared_ptr<const RulesVersion> held = daemon.GetRules().GetHeld();
  if (held == nullptr) {
    reply.error = MakeOperatorError({ErrorKind::kNotReady, daemon.GetSettings().host});
  } else {
    reply.held = MakeSummary(*held);
    reply.newest = reply.held;
  }
  reply.store_reachable = daemon.GetWatcher().IsStoreReachable();
  reply.displaced = daemon.GetWatcher().ListDisplaced();
  reply.progress = daemon.GetCluster().ListProgress(GetNow());
  reply.in_force_everywhere =
      held != nullptr &&
      IsInForceEverywhere(reply.progress, daemon.GetCluster().ListMembers(), held->stamp);
  return reply;
}

// Returns one line of the text; lines are counted from 1.
std::string GetLine(std::string_view text, std::uint32_t line) {
  for (std::uint32_t i = 1; i < line; ++i) {
    const std::size_t end = text.find('\n');
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  }
  return std::string(text.substr(0, text.find_first_of("\r\n")));
}

ExplainReply Explain(Daemon& daemon, const std::string& method, const std::string& path,
                     const std::string& workspace) {
  ExplainReply reply;
  const auto snapshot = daemon.GetRules().GetSnapshot();
  const auto held = daemon.GetRules().GetHeld();
  if (snapshot == nullptr || held == nullptr) {
    reply.error = MakeOperatorError({ErrorKind::kNotReady, daemon.GetSettings().host});
    return reply;
  }
  reply.version = MakeSummary(*held);
  const std::optional<std::string> decoded = DecodeRequestPath(path);
  if (!decoded.has_value()) {
    reply.error = MakeOperatorError(
        {ErrorKind::kInvalidArgument,
         "the proxies refuse the path " + path +
             " (dot segments, empty segments, a backslash or encoded separators)"});
    return reply;
  }
  const auto match = snapshot->FindRoute(method, *decoded);
  if (!match.has_value()) {
    reply.error = MakeOperatorError({ErrorKind::kNotFound, "no route for " + method + " " + path});
    return reply;
  }
  const RouteRule& route = match->route;
  reply.route = route.name;
  reply.service = route.service;
  reply.line = route.line;
  reply.rule = GetLine(held->text, route.line);
  reply.asked_by = route.who;
  reply.reason = route.why;
  const AccessExplanation access = ExplainAccess(snapshot->GetDocument(), route, workspace);
  reply.access = DescribeAccessVerdict(access.verdict);
  reply.access_reason = access.reason;
  const TimePoint now = GetNow();
  daemon.GetServices().WithService(route.service, now, [&](ServiceRuntime& runtime) {
    std::mt19937_64 random(0);
    const TargetChoice choice = runtime.selector.Select(now, random, {});
    reply.target = choice.address;
    reply.target_reason = ExplainChoice(choice);
  });
  return reply;
}

RulesReply GetRules(Daemon& daemon) {
  RulesReply reply;
  const auto held = daemon.GetRules().GetHeld();
  if (held == nullptr) {
    reply.error = MakeOperatorError({ErrorKind::kNotReady, daemon.GetSettings().host});
    return reply;
  }
  reply.version = MakeSummary(*held);
  reply.text = held->text;
  return reply;
}

}  // namespace

AdminHandlers MakeAdminHandlers(Daemon& daemon) {
  AdminHandlers handlers;
  handlers.submit = [&daemon](const std::string& text, const std::string& operator_name,
                              const std::string& base_number, const std::string& submission_id,
                              const std::string& resumed) {
    return EncodeJson(
        Submit(daemon, text, operator_name, base_number, submission_id, resumed == "yes"));
  };
  handlers.check = [](const std::string& text, const std::string& file_name) {
    return EncodeJson(Check(text, file_name));
  };
  handlers.explain = [&daemon](const std::string& method, const std::string& path) {
    return EncodeJson(Explain(daemon, method, path, ""));
  };
  handlers.explain_workspace = [&daemon](const std::string& method, const std::string& path,
                                         const std::string& workspace) {
    return EncodeJson(Explain(daemon, method, path, workspace));
  };
  handlers.status = [&daemon] { return EncodeJson(GetStatus(daemon)); };
  handlers.dump = [&daemon] { return EncodeJson(daemon.DumpState()); };
  handlers.rules = [&daemon] { return EncodeJson(GetRules(daemon)); };
  handlers.drain = [&daemon] {
    daemon.StartDrain();
    DrainReply reply;
    reply.draining = true;
    return EncodeJson(reply);
  };
  return handlers;
}

}  // namespace lacewingbridge
