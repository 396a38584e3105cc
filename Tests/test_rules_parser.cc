// Guards against three failures of the parser: it accepts a file with an invalid rule, it misses an
// error or reports it at the wrong position, or it crashes on some input.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Rules/rules_parser.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

std::vector<RulesError> GetErrors(std::string_view text) {
  const auto result = RulesParser::Parse(text, "f");
  return std::holds_alternative<RulesDocument>(result) ? std::vector<RulesError>()
                                                       : std::get<std::vector<RulesError>>(result);
}

RulesDocument GetDocument(std::string_view text) {
  const auto result = RulesParser::Parse(text, "f");
  if (!std::holds_alternative<RulesDocument>(result)) {
    cr_assert_fail("%s",
                   FormatRulesError(std::get<std::vector<RulesError>>(result).front()).c_str());
  }
  return std::get<RulesDocument>(result);
}

// Checks that parsing reports exactly the expected errors, given as "line:column: what", and that
// each of them has a remedy.
void ExpectErrors(std::string_view text, const std::vector<std::string>& expected) {
  std::vector<std::string> actual;
  for (const RulesError& error : GetErrors(text)) {
    cr_expect(!error.remedy.empty());
    actual.push_back(std::to_string(error.line) + ":" + std::to_string(error.column) + ": " +
                     error.what);
  }
  for (std::size_t i = 0; i < std::max(actual.size(), expected.size()); ++i) {
    const std::string got = i < actual.size() ? actual[i] : "nothing";
    const std::string want = i < expected.size() ? expected[i] : "nothing";
    cr_expect(got == want, "got  %s\nwant %s", got.c_str(), want.c_str());
  }
}

// Returns a rules text with a service and a route to it that has the given keys.
std::string MakeRoute(std::string_view keys) {
  return "service s # A\nroute r path=/p service=s " + std::string(keys) + " # A\n";
}

// Returns the digest of an API key as it is written in a rules file.
std::string DigestKey(std::string_view api_key) { return FormatHex(ComputeSha256(api_key)); }

std::string ReadSample(std::string_view name) {
  const auto root = std::filesystem::path(__FILE__).parent_path().parent_path();
  std::ifstream file(root / "Samples" / name);
  cr_assert(file.is_open());
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace

Test(rules_parser, reads_every_key) {
  const RulesDocument document = GetDocument(
      "# comment\n\n"
      "service s slots=9 connections=120 queue=0 cold-start=1m # Ana Delgado: order desk: looms\n"
      "route r path=/a/b methods=GET,POST service=s idempotent=no key=required deadline=1500ms "
      "retries=0 priority=low # Ana\n"
      "limit l route=r rate=5 burst=7 # Ana:");
  const ServiceRule service{
      "s", 9, 120, 0, std::chrono::minutes(1), 3, "Ana Delgado", "order desk: looms"};
  cr_assert(document.services.front() == service);
  RouteRule route;
  route.name = "r";
  route.path = "/a/b";
  route.service = "s";
  route.methods = MakeHttpMethodSet(HttpMethod::kGet) | MakeHttpMethodSet(HttpMethod::kPost);
  route.key = KeyUse::kRequired;
  route.deadline = std::chrono::milliseconds(1500);
  route.priority = RoutePriority::kLow;
  route.line = 4;
  route.who = "Ana";
  cr_assert(document.routes.front() == route);
  cr_assert(document.limits.front() == LimitRule({"l", "r", "", 5, 7, 5, "Ana", ""}));
}

Test(rules_parser, applies_the_defaults) {
  const RulesDocument document = GetDocument(MakeRoute("") + "limit l service=s rate=5 # A");
  const RouteRule& route = document.routes.front();
  cr_assert(!route.idempotent && route.key == KeyUse::kOptional && route.retries == 0);
  cr_assert(route.deadline == std::chrono::seconds(1) && route.methods == kAllHttpMethods);
  cr_assert_eq(document.limits.front().burst, 5);
  cr_assert(GetDocument(MakeRoute("idempotent=yes")).routes.front().key == KeyUse::kNone);
}

Test(rules_parser, accepts_both_line_ends_and_a_byte_order_mark) {
  const RulesDocument document = GetDocument("service s # A\n\n# c\nservice t # B: w");
  cr_assert(document == GetDocument("service s # A\r\n\r\n# c\r\nservice t # B: w\r\n"));
  ExpectErrors("service t#B", {"1:10: no space before the comment"});
  cr_assert(document == GetDocument("\xef\xbb\xbfservice\ts  # A\n\n# c\nservice t #B :w"));
  cr_assert(GetDocument("").routes.empty());
}

Test(rules_parser, reports_all_errors_with_their_positions) {
  ExpectErrors(
      "service ñu slots=0 # A\n"
      "servce x # A\n"
      "service s x colour=red slots=1 slots=2\n"
      "service # A\n"
      "route r path=a/b service=gone # : why\n"
      "limit l rate=1 # 42\n"
      "limit l route=r service=s rate=0 # A\n"
      "limit m route=missing # A",
      {"1:9: \"ñu\" is not a valid name", "1:12: \"slots=0\" is not valid",
       "2:1: unknown rule \"servce\"", "3:11: unknown word \"x\"", "3:13: unknown key \"colour\"",
       "3:32: \"slots\" is given twice", "3:39: the rule names no person",
       "4:1: the service has no name", "5:9: \"path=a/b\" is not valid",
       "5:18: there is no service \"gone\"", "5:31: the rule names no person",
       "6:1: the limit names neither a route nor a service", "6:16: the rule names no person",
       "7:1: the limit names both a route and a service",
       "7:7: the limit \"l\" is already defined in line 6", "7:27: \"rate=0\" is not valid",
       "8:1: the limit has no \"rate\" key", "8:9: there is no route \"missing\""});
  cr_assert(FormatRulesError(GetErrors("service s").front()) ==
            "f:1:10: the rule names no person; end the line with \"# who: why\"");
}

Test(rules_parser, rejects_malformed_and_out_of_range_values) {
  for (const char* word :
       {"deadline=800us", "deadline=1h", "deadline=2", "deadline=1.5s", "deadline=0ms",
        "deadline=6m", "deadline=ms", "deadline=99999999999s", "deadline=", "retries=6",
        "retries=-1", "methods=get", "methods=GET,,POST", "methods=GET,GET",
        "methods=", "idempotent=true", "key=yes", "priority=high"}) {
    ExpectErrors(MakeRoute(word), {"2:27: \"" + std::string(word) + "\" is not valid"});
  }
  for (const char* word : {"slots=10001", "slots=+1", "slots=1x", "connections=0", "queue=10001",
                           "queue=4294967296", "cold-start=11m"}) {
    ExpectErrors("service s " + std::string(word) + " # A",
                 {"1:11: \"" + std::string(word) + "\" is not valid"});
  }
  for (const char* path : {"", "a", "//", "/a/", "/a//b", "/a?b", "/a/./b", "/..", "/ñ"}) {
    ExpectErrors("service s # A\nroute r service=s path=" + std::string(path) + " # A",
                 {"2:19: \"path=" + std::string(path) + "\" is not valid"});
  }
}

Test(rules_parser, rejects_keys_that_allow_a_request_to_run_twice) {
  ExpectErrors(MakeRoute("retries=1"), {"2:27: retries on a route that is not idempotent"});
  ExpectErrors(MakeRoute("idempotent=yes key=required"),
               {"2:42: a required key on an idempotent route"});
  cr_assert(GetErrors(MakeRoute("idempotent=yes retries=5 key=optional")).empty());
}

Test(rules_parser, reads_workspaces_and_public_routes) {
  const RulesDocument document =
      GetDocument(MakeRoute("public=yes") + "workspace w keys=" + DigestKey("a") + "," +
                  DigestKey("b") + " # Ana: press\n");
  cr_assert(document.routes.front().is_public);
  cr_assert(document.workspaces ==
            std::vector<WorkspaceRule>(
                {{"w", {ComputeDigest("a"), ComputeDigest("b")}, 3, "Ana", "press"}}));
  cr_assert_not(GetDocument(MakeRoute("public=no")).routes.front().is_public);
  cr_assert(GetDocument(MakeRoute("")).workspaces.empty());
}

Test(rules_parser, rejects_workspaces_whose_keys_identify_none) {
  ExpectErrors("workspace # A\nworkspace v # A",
               {"1:1: the workspace has no name", "1:1: the workspace has no \"keys\" key",
                "2:1: the workspace has no \"keys\" key"});
  const std::string digest = DigestKey("a");
  for (const std::string& keys :
       {std::string(), std::string("k1"), digest.substr(1), digest + "0", digest + ",",
        digest + "," + digest, "x" + digest.substr(1), "+" + digest.substr(1)}) {
    ExpectErrors("workspace w keys=" + keys + " # A", {"1:13: the value of \"keys\" is not valid"});
  }
  ExpectErrors("workspace w keys=" + digest + " # A\nworkspace v keys=" + DigestKey("b") + "," +
                   digest + " # A\nworkspace w keys=" + DigestKey("c") + " # A",
               {"2:13: an API key also belongs to the workspace \"w\" in line 1",
                "3:11: the workspace \"w\" is already defined in line 1"});
}

// Guards against an API key in an error message or a log, after it was written into the file.
Test(rules_parser, shows_no_words_of_a_workspace_line) {
  for (const char* words : {"keys=sesame", "key=sesame", "sesame=1", "key sesame", "sesame"}) {
    const auto errors = GetErrors("workspace w " + std::string(words) + " # A");
    cr_assert_not(errors.empty());
    for (const RulesError& error : errors) {
      cr_assert(FormatRulesError(error).find("sesame") == std::string::npos, "%s", words);
    }
  }
}

Test(rules_parser, rejects_routes_that_accept_the_same_requests) {
  const std::string first = MakeRoute("methods=GET,PUT");
  ExpectErrors(first + "route q path=/p service=s methods=PUT,POST # A",
               {"3:9: the route in line 2 accepts the same path and method"});
  ExpectErrors(MakeRoute("") + "route q path=/p service=s # A",
               {"3:9: the route in line 2 accepts the same path and method"});
  cr_assert(GetErrors(first + "route q path=/p service=s # A\n"
                              "route t path=/p service=s methods=POST # A\n"
                              "route u path=/p/q service=s methods=PUT # A")
                .empty());
}

Test(rules_parser, rejects_bytes_that_are_not_plain_text) {
  ExpectErrors(std::string("service s # A\0b\nservice t # A: \xc3\n", 32),
               {"1:14: the line contains a NUL byte", "2:16: the line is not valid UTF-8"});
  // An overlong encoding, a surrogate, and a code point above U+10FFFF.
  for (const char* bytes : {"\xc0\xaf", "\xed\xa0\x80", "\xf4\x90\x80\x80"}) {
    ExpectErrors("# " + std::string(bytes), {"1:3: the line is not valid UTF-8"});
  }
  ExpectErrors("# a\x1b[0m\r", {"1:4: the line contains a control character"});
}

Test(rules_parser, limits_the_size_and_the_number_of_errors) {
  cr_assert(GetErrors(std::string(kMaxRulesBytes, '\n')).empty());
  ExpectErrors(std::string(kMaxRulesBytes + 1, '\n'), {"1:1: the file has 1000001 bytes"});
  std::string text;
  for (std::size_t i = 0; i < kMaxRulesErrors + 5; ++i) {
    text += "x # A\n";
  }
  const auto errors = GetErrors(text);
  cr_assert_eq(errors.size(), kMaxRulesErrors + 1);
  cr_assert(errors.back().what == "5 more errors are not listed");
}

Test(rules_parser, accepts_the_samples) {
  for (const char* name : {"pruitt.rules", "orquesta.rules"}) {
    const RulesDocument document = GetDocument(ReadSample(name));
    cr_assert_eq(document.services.size(), 3);
    cr_assert_geq(document.routes.size(), 10);
  }
}

// Random sequences of words from the grammar reach more of the parser than random bytes.
Test(rules_parser, handles_any_input) {
  const bool bytes_pass = rc::check("random bytes", [](const std::string& text) {
    RC_ASSERT(std::holds_alternative<RulesDocument>(RulesParser::Parse(text, "f")) ==
              GetErrors(text).empty());
  });
  cr_assert(bytes_pass);
  const bool words_pass = rc::check("random words", [] {
    const auto words = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "service", "route", "limit", "\n", "\r\n", "#", "# A\n", "a", "b", "path=/", "path=/a",
        "service=a", "service=b", "route=a", "rate=1", "methods=GET", "retries=1", "=",
        "key=", "idempotent=yes", std::string(1, '\0'), "\xff", "ñ", ":"));
    std::string text;
    for (const std::string& word : words) {
      text += word + " ";
    }
    const auto line_count =
        static_cast<std::uint32_t>(1 + std::count(text.begin(), text.end(), '\n'));
    for (const RulesError& error : GetErrors(text)) {
      RC_ASSERT(error.line >= 1U && error.line <= line_count && error.column >= 1U);
    }
  });
  cr_assert(words_pass);
}
