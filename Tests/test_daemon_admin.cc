// Guards against operators' calls that fail without an error kind and a remedy, and against
// explanations of a route that are wrong, or missing while no targets are known.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "Admin/admin_handlers.h"
#include "Core/digest.h"
#include "Daemon/admin_service.h"
#include "Daemon/daemon.h"
#include "Daemon/daemon_settings_loader.h"
#include "Observe/event_log.h"
#include "admin_codec.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

const std::string kRules =
    "# rules of the test\n"
    "service designs slots=9  # Ana: designs\n"
    "route lookup path=/designs service=designs idempotent=yes  # Ana: lookups\n";

// Port 1 refuses connections, so calls to the store fail at once.
const std::string kSettings =
    "host = \"host-1\"\ndata_centre = \"dc-1\"\nregion = \"carolinas\"\n"
    "caller_address = \"127.0.0.1:7000\"\ncontrol_address = \"127.0.0.1:7001\"\n"
    "store_address = \"127.0.0.1:1\"\nstore_timeout_ms = 100\nlog_level = \"error\"\n";

// Holds a daemon whose listeners and threads are not started.
struct Fixture {
  Fixture() {
    EventLog::Configure("host-1", "error");
    auto settings = DaemonSettingsLoader::LoadText(kSettings, "daemon.toml");
    auto created = Daemon::Create(GetValue(settings));
    cr_assert(IsOk(created));
    this->daemon = std::move(GetValue(created));
    this->handlers = MakeAdminHandlers(*this->daemon);
  }

  void HoldRules(std::uint64_t number = 1, const std::string& text = kRules) const {
    RulesVersion version;
    version.stamp = {number, ComputeDigest(text)};
    version.operator_name = "maria";
    version.text = text;
    cr_assert_eq(this->daemon->OfferVersion(version), OfferOutcome::kApplied);
  }

  SubmitReply Submit(const std::string& text, const std::string& base,
                     const std::string& who = "maria") const {
    return Read<SubmitReply>(this->handlers.submit(text, who, base, "id-1", "no"));
  }

  template <typename Reply>
  static Reply Read(const std::string& json) {
    Reply reply;
    cr_assert(DecodeJson(json, reply), "%s", json.c_str());
    return reply;
  }

  std::unique_ptr<Daemon> daemon;
  AdminHandlers handlers;
};

template <typename Reply>
void AssertError(const Reply& reply, ErrorKind kind) {
  cr_assert(reply.error.has_value());
  cr_assert_eq(reply.error->kind, std::string(GetName(kind)), "%s", reply.error->kind.c_str());
  cr_assert(reply.error->message.find("Remedy") != std::string::npos);
}

}  // namespace

Test(admin, calls_fail_with_not_ready_before_a_version_is_held) {
  const Fixture fixture;
  AssertError(Fixture::Read<StatusReply>(fixture.handlers.status()), ErrorKind::kNotReady);
  AssertError(Fixture::Read<RulesReply>(fixture.handlers.rules()), ErrorKind::kNotReady);
  AssertError(Fixture::Read<ExplainReply>(fixture.handlers.explain("GET", "/designs")),
              ErrorKind::kNotReady);
}

Test(admin, refused_submissions_return_an_error_kind_and_a_remedy) {
  const Fixture fixture;
  AssertError(fixture.Submit(kRules, "one"), ErrorKind::kInvalidArgument);
  AssertError(fixture.Submit(kRules, "-1"), ErrorKind::kInvalidArgument);
  AssertError(fixture.Submit(kRules, ""), ErrorKind::kInvalidArgument);
  AssertError(fixture.Submit(kRules, "0", ""), ErrorKind::kInvalidArgument);
  AssertError(fixture.Submit("route x\n", "0"), ErrorKind::kRulesInvalid);
  AssertError(fixture.Submit(kRules, "0"), ErrorKind::kStoreUnavailable);
}

Test(admin, check_reports_all_problems_of_a_file) {
  const Fixture fixture;
  const auto bad = Fixture::Read<CheckReply>(
      fixture.handlers.check("route x\nservice y slots=0 # Ana\n", "a.rules"));
  cr_assert_geq(bad.problems.size(), 2U);
  for (const RulesProblem& problem : bad.problems) {
    cr_assert_eq(problem.file, "a.rules");
    cr_assert_not(problem.remedy.empty());
  }
  const auto good = Fixture::Read<CheckReply>(fixture.handlers.check(kRules, "a.rules"));
  cr_assert(good.problems.empty());
  cr_assert_eq(good.route_count, 1U);
}

Test(admin, explain_names_rule_and_person_before_targets_are_known) {
  const Fixture fixture;
  fixture.HoldRules();
  const auto reply = Fixture::Read<ExplainReply>(fixture.handlers.explain("GET", "/designs/1"));
  cr_assert_not(reply.error.has_value());
  cr_assert_eq(reply.route, "lookup");
  cr_assert_eq(reply.line, 3U);
  cr_assert(reply.rule.starts_with("route lookup"));
  cr_assert_eq(reply.asked_by, "Ana");
  cr_assert_eq(reply.version.number, 1U);
  cr_assert_eq(reply.target, "");
  cr_assert_not(reply.target_reason.empty());
  AssertError(Fixture::Read<ExplainReply>(fixture.handlers.explain("GET", "/nothing")),
              ErrorKind::kNotFound);
}

Test(admin, explain_tells_which_rule_decides_on_the_access) {
  const Fixture fixture;
  const auto explain = [&fixture](const std::string& path, const std::string& workspace) {
    return Fixture::Read<ExplainReply>(
        workspace.empty() ? fixture.handlers.explain("GET", path)
                          : fixture.handlers.explain_workspace("GET", path, workspace));
  };
  fixture.HoldRules();
  cr_assert_eq(explain("/designs", "").access, "allowed");
  const std::string digest = FormatHex(ComputeSha256("sesame"));
  const std::string keyed = kRules +
                            "route open path=/open service=designs public=yes  # Ana: a\n" +
                            "workspace press keys=" + digest + "  # Ana: customer\n";
  fixture.HoldRules(2, keyed);
  cr_assert_eq(explain("/designs", "").access, "no_key");
  cr_assert_eq(explain("/designs", "film").access, "unknown_key");
  cr_assert_eq(explain("/open", "").access, "allowed");
  const ExplainReply allowed = explain("/designs", "press");
  cr_assert_eq(allowed.access, "allowed");
  cr_assert(allowed.access_reason.find("line 5") != std::string::npos);
  cr_assert(allowed.access_reason.find(digest) == std::string::npos);
}

Test(admin, explain_describes_the_request_that_the_proxy_would_match) {
  const Fixture fixture;
  fixture.HoldRules();
  const auto reply =
      Fixture::Read<ExplainReply>(fixture.handlers.explain("GET", "/designs/1?size=2"));
  cr_assert_not(reply.error.has_value());
  cr_assert_eq(reply.route, "lookup");
}

Test(admin, held_rules_are_shown_as_they_were_submitted) {
  const Fixture fixture;
  fixture.HoldRules();
  const auto reply = Fixture::Read<RulesReply>(fixture.handlers.rules());
  cr_assert_eq(reply.text, kRules);
  const auto status = Fixture::Read<StatusReply>(fixture.handlers.status());
  cr_assert_eq(status.held.number, 1U);
  cr_assert_eq(status.held.operator_name, "maria");
  cr_assert_not(status.error.has_value());
}

Test(admin, drain_is_shown_in_the_dump) {
  const Fixture fixture;
  cr_assert(Fixture::Read<DrainReply>(fixture.handlers.drain()).draining);
  cr_assert(fixture.daemon->DumpState().draining);
}
