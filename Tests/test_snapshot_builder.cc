// Guards against routes whose service is missing from the snapshot, and against endpoints that are
// dead, duplicated or not marked as draining.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "Rules/rules_parser.h"
#include "Version/route_snapshot.h"
#include "Version/snapshot_builder.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

std::shared_ptr<const RulesDocument> ParseDocument(std::string_view text) {
  auto result = RulesParser::Parse(text, "f");
  cr_assert(std::holds_alternative<RulesDocument>(result));
  return std::make_shared<const RulesDocument>(std::get<RulesDocument>(std::move(result)));
}

MemberRecord MakeMember(std::string host, MemberState state, std::vector<TargetRecord> targets) {
  MemberRecord member;
  member.host = std::move(host);
  member.region = "carolinas";
  member.data_centre = "carolinas-1";
  member.state = state;
  member.targets = std::move(targets);
  return member;
}

const std::shared_ptr<const RulesDocument> kDocument = ParseDocument(
    "service orders slots=9 # A\n"
    "service designs # A\n"
    "service unused # A\n"
    "route order path=/orders service=orders # A\n"
    "route lookup path=/designs service=designs # A\n");

}  // namespace

Test(snapshot_builder, holds_the_named_services_with_their_endpoints) {
  const std::vector<MemberRecord> members = {
      MakeMember("h1", MemberState::kAlive,
                 {{"orders", "10.0.0.1:80", 12, false, 0}, {"unused", "10.0.0.1:81", 1, false, 0}}),
      MakeMember("h2", MemberState::kDraining, {{"orders", "10.0.0.2:80", 4, false, 0}}),
      MakeMember("h3", MemberState::kDead, {{"orders", "10.0.0.3:80", 9, false, 0}}),
      MakeMember("h4", MemberState::kSuspect, {{"orders", "10.0.0.4:80", 0, true, 0}}),
  };
  const auto snapshot = SnapshotBuilder::Build({7, "digest"}, kDocument, members);
  cr_assert(snapshot->GetVersion() == VersionStamp({7, "digest"}));
  cr_assert_eq(snapshot->GetServices().size(), 2);
  cr_assert_null(snapshot->FindService("unused"));
  cr_assert(snapshot->FindService("designs")->endpoints.empty());
  const std::vector<SnapshotEndpoint> expected = {
      {"h1", "carolinas-1", "carolinas", "10.0.0.1:80", 9, false},
      {"h2", "carolinas-1", "carolinas", "10.0.0.2:80", 4, true},
      {"h4", "carolinas-1", "carolinas", "10.0.0.4:80", 9, true}};
  cr_assert(snapshot->FindService("orders")->endpoints == expected);
  const auto match = snapshot->FindRoute("GET", "/orders/1");
  cr_assert(match && match->route.name == "order" && match->service.rule.name == "orders");
  cr_assert(!snapshot->FindRoute("GET", "/elsewhere"));
}

Test(snapshot_builder, keeps_one_endpoint_for_an_address) {
  const auto get_host = [](std::vector<MemberRecord> members) {
    const auto snapshot = SnapshotBuilder::Build({}, kDocument, members);
    const auto& endpoints = snapshot->FindService("designs")->endpoints;
    cr_assert_eq(endpoints.size(), 1);
    return endpoints.front().host;
  };
  const std::vector<TargetRecord> targets = {{"designs", "10.0.0.1:80", 9, false, 0}};
  const MemberRecord replaced = MakeMember("a", MemberState::kSuspect, targets);
  const MemberRecord replacement = MakeMember("b", MemberState::kAlive, targets);
  cr_assert(get_host({replaced, replacement}) == "b" && get_host({replacement, replaced}) == "b");
}

Test(snapshot_builder, owns_its_document_after_the_caller_has_released_it) {
  std::shared_ptr<const RouteSnapshot> snapshot;
  {
    const auto document = ParseDocument("service s # A\nroute r path=/ service=s # A");
    snapshot = SnapshotBuilder::Build({}, document, {});
  }
  const auto match = snapshot->FindRoute("GET", "/x");
  cr_assert(match && match->service.rule.name == "s");
}

// The document does not come from the parser, so routes may name services that it does not declare.
Test(snapshot_builder, every_route_has_its_service) {
  const bool pass = rc::check("every route has its service, and every service has a route", [] {
    const auto names = rc::gen::element<std::string>("a", "b", "c", "d", "");
    const auto states = rc::gen::element(MemberState::kUnknown, MemberState::kAlive,
                                         MemberState::kDraining, MemberState::kDead);
    auto document = std::make_shared<RulesDocument>();
    for (const std::string& name : *rc::gen::container<std::vector<std::string>>(names)) {
      document->services.emplace_back().name = name;
    }
    for (const std::string& name : *rc::gen::container<std::vector<std::string>>(names)) {
      RouteRule& route = document->routes.emplace_back();
      route.service = name;
      route.path = "/" + std::to_string(document->routes.size());
    }
    std::vector<MemberRecord> members;
    for (const std::string& name : *rc::gen::container<std::vector<std::string>>(names)) {
      members.push_back(MakeMember("h" + std::to_string(members.size()), *states,
                                   {{name, *names, *rc::gen::inRange(0U, 3U), false, 0}}));
    }
    const auto snapshot = SnapshotBuilder::Build({}, document, members);
    for (const RouteRule& route : document->routes) {
      const auto match = snapshot->FindRoute("GET", route.path);
      RC_ASSERT(match && &match->route == &route && match->service.rule.name == route.service);
    }
    for (const SnapshotService& service : snapshot->GetServices()) {
      RC_ASSERT(
          std::any_of(document->routes.begin(), document->routes.end(),
                      [&](const RouteRule& route) { return route.service == service.rule.name; }));
      for (const SnapshotEndpoint& endpoint : service.endpoints) {
        RC_ASSERT(endpoint.slots >= 1U && !endpoint.address.empty());
      }
    }
    std::reverse(members.begin(), members.end());
    const auto reversed = SnapshotBuilder::Build({}, document, members);
    RC_ASSERT(std::ranges::equal(snapshot->GetServices(), reversed->GetServices()));
  });
  cr_assert(pass);
}
