// Embeds the library without any transport: parses rules, puts a version in force, and
// lets the decision logic choose a target in time that this program counts itself.
#include <chrono>
#include <cstdio>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "Core/digest.h"
#include "Routing/target_selector.h"
#include "Rules/rules_document.h"
#include "Rules/rules_parser.h"
#include "Version/route_snapshot.h"
#include "Version/snapshot_builder.h"
#include "Version/version_holder.h"

int main() {
  using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
  const std::string text =
      "service designs slots=9  # Ana: lookups\n"
      "route lookup path=/designs service=designs idempotent=yes  # Ana: lookups\n";
  RulesParser::ParseResult parsed = RulesParser::Parse(text, "example.rules");
  if (!std::holds_alternative<RulesDocument>(parsed)) {
    return 1;
  }
  RulesVersion version;
  version.stamp = {1, ComputeDigest(text)};
  version.text = text;
  VersionHolder holder;
  if (holder.Offer(version) != OfferOutcome::kApplied ||
      holder.Offer(version) != OfferOutcome::kSame) {
    return 1;
  }
  MemberRecord member;
  member.host = "host-1";
  member.data_centre = "dc-1";
  member.region = "carolinas";
  member.state = MemberState::kAlive;
  TargetRecord target;
  target.service = "designs";
  target.address = "10.0.0.1:8080";
  target.slots = 9;
  member.targets.push_back(target);
  const std::vector<MemberRecord> members = {member};
  const auto snapshot = SnapshotBuilder::Build(
      holder.GetStamp(),
      std::make_shared<const RulesDocument>(std::get<RulesDocument>(std::move(parsed))), members);
  const auto match = snapshot->FindRoute("GET", "/designs/42");
  if (!match.has_value()) {
    return 1;
  }
  const TimePoint now{std::chrono::seconds(100)};
  TargetSelector selector("dc-1", "carolinas", Duration{0});
  const std::vector<TargetEndpoint> endpoints = {
      {"10.0.0.1:8080", "host-1", "dc-1", "carolinas", 9, false, 0}};
  selector.UpdateTargets(now, endpoints);
  std::mt19937_64 random(1);
  const TargetChoice choice = selector.Select(now, random, {});
  std::printf("route %s, target %s\n%s\n", match->route.name.c_str(), choice.address.c_str(),
              ExplainChoice(choice).c_str());
  return choice.kind == TargetChoiceKind::kTarget ? 0 : 1;
}
