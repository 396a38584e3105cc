// Guards against settings, configurations and announcements of the platform that are read
// wrongly or in part.

#include <array>
#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "control_handler.h"
#include "duration_text.h"
#include "platform_wire.h"
#include "settings_reader.h"
#include "table_decoder.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr char kSettings[] = R"(
[self]
node_name = "h1"
zone = "a1"
region = "a"
ip = "10.0.0.1"
app_addr = "10.0.0.1:8628"
service = "book"
unknown = 5
[self.limits]
cores = 1
[network.listen]
inbound = "10.0.0.1:8624"
outbound = "10.0.0.1:8629"
ready = "10.0.0.1:8625"
control = "10.0.0.1:8620"
[platform.platform]
address = "10.0.0.9:8627"
ttl_min = "1000ms"
[terms.bounds]
grace = "6s"
retry_budget_ratio = 0.2
budget_window = "10s"
budget_slack = 60
config_apply = "2000ms"
)";

constexpr char kTable[] = R"({"version":7,"new_field":1,"resources":[
 {"resource_kind":"routes","metadata":{"name":"r1"},"spec":{"host":"A.example","prefix":"/x/",
  "kind":"safe","timeout":"1000ms","target_latency":"0.3s","priority":2,
  "traffic_split":[{"service":"book","weight":90},{"service":"desk","weight":10}],
  "max_attempts":2}},
 {"resource_kind":"routes","metadata":{"name":"r2"},"spec":{"host":"b.example","prefix":"/y/",
  "kind":"unsafe","timeout":"1200ms","priority":1,"service":"desk","max_attempts":3}},
 {"resource_kind":"services","metadata":{"name":"book"},"spec":{"health_check_path":"/healthz",
  "max_connections":120}},
 {"resource_kind":"surprises","metadata":{"name":"x"},"spec":{}},
 {"resource_kind":"limits","metadata":{},"spec":{"max_header_bytes":16384,
  "max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15s"}}]})";

std::string Replace(std::string text, const std::string& from, const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

Test(platform_decoding, reads_times_with_their_units) {
  cr_assert(ParseDuration("1500ms") == milliseconds(1500));
  cr_assert(ParseDuration("2.5s") == milliseconds(2500));
  for (const char* wrong : {"", "5", "ms", "-1s", "1 s", "1m", "nan s", "1e300s", "5msx"}) {
    cr_assert(!ParseDuration(wrong).has_value(), "%s", wrong);
  }
}

Test(platform_decoding, reads_the_settings_and_ignores_unknown_fields) {
  const Result<MeshSettings> settings = ParseMeshSettings(kSettings, "test");
  cr_assert(IsOk(settings));
  cr_assert_eq(GetValue(settings).host, "h1");
  cr_assert_eq(GetValue(settings).caller_address, "10.0.0.1:8629");
  cr_assert_eq(GetValue(settings).peer_address, "10.0.0.1:8624");
  cr_assert_eq(GetValue(settings).stop_limit_ms, 6000);
  cr_assert_eq(GetValue(settings).retry_slack, 60);
  cr_assert_eq(GetValue(settings).table_bound_ms, 2000);
  cr_assert_eq(GetValue(settings).link_bytes_per_second, 0);
  cr_assert_eq(GetValue(settings).revoke_bound_ms, 0);
  cr_assert_eq(GetValue(settings).quota_window_ms, 0);
  const std::string with_link = Replace(kSettings, "cores = 1", "cores = 1\nlink_mbps = 9.6");
  const Result<MeshSettings> linked = ParseMeshSettings(with_link, "test");
  cr_assert(IsOk(linked));
  cr_assert_eq(GetValue(linked).link_bytes_per_second, 1200000);
  cr_assert(!IsOk(ParseMeshSettings(Replace(with_link, "9.6", "-1"), "test")));
}

Test(platform_decoding, reads_the_bounds_of_workspaces) {
  const std::string bounds =
      "revoke = \"5s\"\nquota_window = \"5s\"\nquota_overage = 0.1\nquota_slack = 20\n";
  const Result<MeshSettings> strict =
      ParseMeshSettings(kSettings + bounds + "strict_revoke = true\n", "test");
  cr_assert(IsOk(strict));
  cr_assert_eq(GetValue(strict).revoke_bound_ms, 5000);
  cr_assert_eq(GetValue(strict).quota_window_ms, 5000);
  cr_assert_eq(GetValue(strict).quota_overage, 0.1);
  cr_assert_eq(GetValue(strict).quota_slack, 20);
  // Daemons that cannot reach the store are bound only where this is asked for.
  const Result<MeshSettings> lenient =
      ParseMeshSettings(kSettings + bounds + "strict_revoke = false\n", "test");
  cr_assert(IsOk(lenient));
  cr_assert_eq(GetValue(lenient).revoke_bound_ms, 0);
  const Result<MeshSettings> wrong = ParseMeshSettings(
      std::string(kSettings) + "strict_revoke = true\nquota_slack = \"x\"\n", "test");
  cr_assert(!IsOk(wrong));
  cr_assert(GetError(wrong).GetMessage().find("terms.bounds.revoke") != std::string::npos);
  cr_assert(GetError(wrong).GetMessage().find("terms.bounds.quota_slack") != std::string::npos);
  cr_assert(!IsOk(ParseMeshSettings(std::string(kSettings) + "strict_revoke = 1\n", "test")));
}

Test(platform_decoding, names_every_wrong_field_of_the_settings) {
  std::string text = Replace(kSettings, "\"6s\"", "6");
  text = Replace(text, "inbound = \"10.0.0.1:8624\"", "");
  text = Replace(text, "cores = 1", "cores = 0");
  const Result<MeshSettings> settings = ParseMeshSettings(text, "test");
  cr_assert(!IsOk(settings));
  const std::string message = GetError(settings).GetMessage();
  for (const char* field : {"terms.bounds.grace", "network.listen.inbound", "self.limits.cores",
                            "\"1500ms\"", "1 to 256", "Remedy"}) {
    cr_assert(message.find(field) != std::string::npos, "%s lacks %s", message.c_str(), field);
  }
  cr_assert(!IsOk(ParseMeshSettings("[self", "test")));
}

Test(platform_decoding, reads_a_configuration) {
  const Result<RouteTable> decoded = TableDecoder::Decode(kTable);
  cr_assert(IsOk(decoded));
  const RouteTable& table = GetValue(decoded);
  cr_assert_eq(table.version, 7);
  cr_assert_eq(table.routes.size(), 2);
  cr_assert_eq(table.routes[0].host, "a.example");
  cr_assert_eq(table.routes[0].destinations.size(), 2);
  cr_assert_eq(table.routes[0].destinations[0].weight, 90);
  cr_assert_eq(table.routes[0].objective_ms, 300);
  cr_assert(table.routes[0].idempotent);
  cr_assert(!table.routes[1].idempotent);
  cr_assert_eq(table.routes[1].destinations[0].service, "desk");
  cr_assert_eq(table.limits.idle_timeout_ms, 15000);
}

Test(platform_decoding, refuses_a_configuration_as_a_whole) {
  cr_assert(!IsOk(TableDecoder::Decode("{\"version\":7")));
  cr_assert(!IsOk(TableDecoder::Decode("[]")));
  cr_assert(!IsOk(TableDecoder::Decode(Replace(kTable, "\"1200ms\"", "1200"))));
  const Result<RouteTable> wrong =
      TableDecoder::Decode(Replace(kTable, "\"weight\":90", "\"weight\":\"90\""));
  cr_assert(!IsOk(wrong));
  cr_assert(GetError(wrong).GetMessage().find("weight") != std::string::npos);
  cr_assert(
      !IsOk(TableDecoder::Decode(Replace(kTable, "\"max_attempts\":2", "\"max_attempts\":-2"))));
}

Test(platform_decoding, reads_announcements_and_refuses_unreadable_ones) {
  const std::string text = R"({"address":"10.0.0.1:1","info":{"service":"book","slots":9},)"
                           R"("status":{"state":"draining","sequence":4},"born":1780000000123})";
  const Result<TargetAnnouncement> announcement = DecodeAnnouncement("i-1", text);
  cr_assert(IsOk(announcement));
  cr_assert(GetValue(announcement).draining);
  cr_assert_eq(GetValue(announcement).born_unix_ms, 1780000000123U);
  cr_assert_eq(GetValue(announcement).slots, 9);
  for (const std::string& wrong :
       {Replace(text, "draining", "dancing"), Replace(text, "\"slots\":9", "\"slots\":\"9\""),
        Replace(text, "\"sequence\":4", "\"s\":4"), std::string("null"), std::string("\xff\xfe")}) {
    cr_assert(!IsOk(DecodeAnnouncement("i-1", wrong)), "%s", wrong.c_str());
  }
}

// Guards against entries of another writer that end the process: the parser must not use stack for
// each level of nesting, and numbers must fit the fields that they are read into.
Test(platform_decoding, refuses_deep_nesting_and_numbers_that_are_too_large) {
  for (const std::string& open : {std::string("["), std::string("{\"a\":")}) {
    std::string deep;
    for (int i = 0; i < 1'000'000; ++i) {
      deep += open;
    }
    cr_assert(!IsOk(DecodeAnnouncement("i-1", deep)));
    cr_assert(!IsOk(TableDecoder::Decode(deep)));
  }
  const std::string closed =
      "{\"x\":" + std::string(1'000'000, '[') + std::string(1'000'000, ']') + "}";
  cr_assert(!IsOk(DecodeAnnouncement("i-1", closed)));
  cr_assert(!IsOk(TableDecoder::Decode(closed)));
  const std::string text = R"({"info":{"service":"book","slots":9},)"
                           R"("status":{"state":"ready","sequence":4},"born":1})";
  cr_assert(IsOk(DecodeAnnouncement("i-1", text)));
  for (const char* slots : {"10001", "4294967295", "4294967296", "1e400", "-1", "9.5",
                            "123456789012345678901234567890"}) {
    const std::string wrong = Replace(text, ":9}", std::string(":") + slots + "}");
    cr_assert(!IsOk(DecodeAnnouncement("i-1", wrong)), "%s", slots);
  }
}

Test(platform_decoding, translates_headers) {
  http::fields fields;
  fields.set("Lacewingbridge-Deadline-Ms", "1500");
  fields.set("Lacewingbridge-Request-Id", "abc");
  cr_assert(PlatformWire::ReadCallerHeaders(fields).time_left == milliseconds(1500));
  fields.set("Lacewingbridge-Deadline-Ms", "soon");
  cr_assert(!PlatformWire::ReadCallerHeaders(fields).time_left.has_value());
  http::fields answer;
  answer.set("Lacewingbridge-Server-Load", "3,1,8");
  answer.set("Lacewingbridge-Not-Executed", "1");
  const TargetResponseHeaders head = PlatformWire::ReadResponseHeaders(answer);
  cr_assert(head.not_run);
  cr_assert(!head.has_signature);
  cr_assert_eq(head.load->slots, 8);
  cr_assert(!head.load->work_percent.has_value());
  answer.set("Lacewingbridge-Server-Load", "3,1,8,140");
  const TargetResponseHeaders with_work = PlatformWire::ReadResponseHeaders(answer);
  cr_assert_eq(with_work.load->slots, 8);
  cr_assert_eq(with_work.load->work_percent.value(), 140);
  for (const char* wrong :
       {"", "3,1", "3,1,8,", "3,1,8,x", "3,1,8,9,1", "3,1,8,9,", "a,b,c", "3,,8"}) {
    answer.set("Lacewingbridge-Server-Load", wrong);
    cr_assert(!PlatformWire::ReadResponseHeaders(answer).load.has_value(), "%s", wrong);
  }
  http::fields request;
  request.set("Lacewingbridge-Expected-Instance", "forged");
  request.set("Lacewingbridge-Caller-Service", "forged");
  PlatformWire::WriteTargetHeaders(request, {milliseconds(700), "", "book"});
  cr_assert(request["Lacewingbridge-Expected-Instance"].empty());
  cr_assert(request["Lacewingbridge-Caller-Service"] == "book");
  cr_assert(request["Lacewingbridge-Deadline-Ms"] == "700");
}

Test(platform_decoding, reads_workspaces_and_keeps_no_keys) {
  const std::string entry =
      R"({"resource_kind":"tenants","metadata":{"name":"press"},"spec":{"api_keys":["k1","k2"],)"
      R"("priority":0,"rate_per_s":602,"burst":60}},)"
      R"({"resource_kind":"tenants","metadata":{"name":"film"},"spec":{}},)";
  std::string text =
      Replace(kTable, R"({"resource_kind":"surprises")", entry + R"({"resource_kind":"surprises")");
  text = Replace(text, R"("max_attempts":3)", R"("max_attempts":3,"public":true)");
  const Result<RouteTable> decoded = TableDecoder::Decode(text);
  cr_assert(IsOk(decoded));
  const RouteTable& table = GetValue(decoded);
  cr_assert(!table.routes[0].is_public);
  cr_assert(table.routes[1].is_public);
  cr_assert_eq(table.workspaces.size(), 2);
  cr_assert_eq(table.workspaces[0].name, "press");
  cr_assert_eq(table.workspaces[0].key_digests.size(), 2);
  cr_assert_eq(table.workspaces[0].key_digests[1], ComputeDigest("k2"));
  cr_assert_eq(table.workspaces[0].priority.value(), 0);
  cr_assert_eq(table.workspaces[0].rate_per_s, 602);
  cr_assert_eq(table.workspaces[0].burst, 60);
  cr_assert(table.workspaces[1].key_digests.empty());
  cr_assert(!table.workspaces[1].priority.has_value());
  for (const auto& [from, to, field] :
       {std::array{R"(["k1","k2"])", R"("secret")", "api_keys"},
        std::array{R"(["k1","k2"])", R"(["secret",5])", "api_keys"},
        std::array{R"("rate_per_s":602)", R"("rate_per_s":-1)", "rate_per_s"},
        std::array{R"("priority":0)", R"("priority":"high")", "priority"}}) {
    const Result<RouteTable> wrong = TableDecoder::Decode(Replace(text, from, to));
    cr_assert(!IsOk(wrong));
    const std::string message = GetError(wrong).GetMessage();
    cr_assert(message.find(field) != std::string::npos, "%s", message.c_str());
    cr_assert(message.find("secret") == std::string::npos, "%s", message.c_str());
  }
}

// Guards against a request that is taken for that of another workspace because of an odd header.
Test(platform_decoding, reads_the_key_of_exactly_one_bearer_header) {
  const std::string long_key(10000, 'k');
  const std::vector<std::pair<std::string, std::string>> cases = {{"Bearer k1", "k1"},
                                                                  {"bEARER k1", "k1"},
                                                                  {"Bearer   k1", "k1"},
                                                                  {"Bearer k1  ", "k1"},
                                                                  {"Bearer", ""},
                                                                  {"Bearer ", ""},
                                                                  {"Bearerk1", ""},
                                                                  {"", ""},
                                                                  {"Basic azE6", ""},
                                                                  {"k1", ""},
                                                                  {"Bearer a b", ""},
                                                                  {"Bearer a,b", ""},
                                                                  {"Bearer\tk1", ""},
                                                                  {"Token Bearer k1", ""},
                                                                  {"Bearer " + long_key, long_key}};
  for (const auto& [value, key] : cases) {
    http::fields fields;
    fields.set("authorization", value);
    cr_assert_eq(PlatformWire::ReadCallerHeaders(fields).api_key, key, "%s", value.c_str());
    fields.insert("Authorization", "Bearer k1");
    cr_assert_eq(PlatformWire::ReadCallerHeaders(fields).api_key, "", "%s twice", value.c_str());
  }
  cr_assert_eq(PlatformWire::ReadCallerHeaders(http::fields()).api_key, "");
}

// Guards against a target that takes a caller for another one.
Test(platform_decoding, tells_a_target_the_workspace) {
  const AccessHeaders names = PlatformWire::GetAccessHeaders();
  cr_assert_eq(names.key, "Authorization");
  cr_assert_eq(names.workspace, "Lacewingbridge-Tenant-Id");
  cr_assert_eq(names.challenge, "Bearer");
  http::fields request;
  request.insert("Lacewingbridge-Tenant-Id", "forged");
  request.insert("lacewingbridge-tenant-id", "forged");
  PlatformWire::WriteTargetHeaders(request, {milliseconds(700), "", "book", "press"});
  cr_assert_eq(request.count("Lacewingbridge-Tenant-Id"), 1);
  cr_assert(request["Lacewingbridge-Tenant-Id"] == "press");
}
