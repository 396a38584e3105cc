// Guards against a selection that overloads one target, sends requests to draining or ejected ones,
// leaves the data centre without need, or miscounts requests in flight.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "Routing/target_selector.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint At(Duration since_start) { return TimePoint(since_start); }

TargetEndpoint MakeTarget(const std::string& name, const std::string& data_centre = "c1",
                          const std::string& region = "carolinas", std::uint32_t slots = 4) {
  return {name, "host-" + name, data_centre, region, slots, false, 0};
}

TargetSelector MakeSelector(std::span<const TargetEndpoint> targets) {
  TargetSelector selector("c1", "carolinas", seconds(10));
  selector.UpdateTargets(At(seconds(0)), targets);
  return selector;
}

std::map<std::string, int> CountChoices(TargetSelector& selector, TimePoint now, int rounds) {
  std::mt19937_64 random(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < rounds; ++i) {
    ++counts[selector.Select(now, random, {}).address];
  }
  return counts;
}

void FailTarget(TargetSelector& selector, TimePoint now, const std::string& address, int times) {
  for (int i = 0; i < times; ++i) {
    selector.ReportStart(address);
    selector.ReportFinish(now, address, TargetOutcome::kFailed, milliseconds(1));
  }
}

TargetDump FindDump(const TargetSelector& selector, TimePoint now, const std::string& address) {
  for (const TargetDump& dump : selector.DumpTargets(now)) {
    if (dump.address == address) {
      return dump;
    }
  }
  return {};
}

constexpr TimePoint kWarm{seconds(100)};

}  // namespace

Test(routing_selector, fills_near_targets_before_more_distant_ones) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("near", "c1", "carolinas", 2),
                                               MakeTarget("sibling", "c2", "carolinas", 2),
                                               MakeTarget("far", "g1", "georgia", 2)};
  TargetSelector selector = MakeSelector(targets);
  std::mt19937_64 random(1);
  std::vector<std::string> order;
  for (int i = 0; i < 6; ++i) {
    const TargetChoice choice = selector.Select(kWarm, random, {});
    order.push_back(choice.address);
    selector.ReportStart(choice.address);
  }
  cr_assert(order ==
            std::vector<std::string>({"near", "near", "sibling", "sibling", "far", "far"}));
  cr_assert(selector.Select(kWarm, random, {}).kind == TargetChoiceKind::kAllFull);
}

Test(routing_selector, returns_the_reason_for_having_no_target) {
  TargetSelector selector = MakeSelector({});
  std::mt19937_64 random(1);
  cr_assert(selector.Select(kWarm, random, {}).kind == TargetChoiceKind::kNoneKnown);
  std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b")};
  selector.UpdateTargets(At(seconds(0)), targets);
  const std::vector<std::string> both = {"a", "b"};
  cr_assert(selector.Select(kWarm, random, both).kind == TargetChoiceKind::kAllExcluded);
  FailTarget(selector, kWarm, "a", 5);
  const std::vector<std::string> second = {"b"};
  const TargetChoice choice = selector.Select(kWarm, random, second);
  cr_assert(choice.kind == TargetChoiceKind::kAllEjected);
  cr_assert(ExplainChoice(choice).find("1 ejected") != std::string::npos);
  targets[0].draining = true;
  targets[1].draining = true;
  selector.UpdateTargets(kWarm, targets);
  cr_assert(selector.Select(kWarm, random, {}).kind == TargetChoiceKind::kNoneKnown);
}

Test(routing_selector, ejects_after_five_failures_for_doubling_times_but_never_the_last_target) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b")};
  TargetSelector selector = MakeSelector(targets);
  FailTarget(selector, kWarm, "a", 4);
  cr_assert(!FindDump(selector, kWarm, "a").ejected);
  FailTarget(selector, kWarm, "a", 1);
  cr_assert(FindDump(selector, kWarm, "a").ejected);
  FailTarget(selector, kWarm, "b", 50);
  cr_assert(!FindDump(selector, kWarm, "b").ejected, "the last target must stay");
  const TimePoint back = kWarm + seconds(1);
  cr_assert(!FindDump(selector, back, "a").ejected);
  cr_assert_eq(FindDump(selector, back, "a").slots, 1,
               "one request at a time checks a returned target");
  FailTarget(selector, back, "a", 1);
  cr_assert(FindDump(selector, back + milliseconds(1999), "a").ejected);
  cr_assert(!FindDump(selector, back + seconds(2), "a").ejected);
}

Test(routing_selector, ejection_is_limited_to_30_seconds) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b")};
  TargetSelector selector = MakeSelector(targets);
  TimePoint now = kWarm;
  for (int i = 0; i < 10; ++i) {
    FailTarget(selector, now, "a", 5);
    cr_assert(FindDump(selector, now, "a").ejected);
    Duration length{0};
    while (FindDump(selector, now + length, "a").ejected) {
      length += seconds(1);
    }
    cr_assert_eq(length, Duration(seconds(i < 5 ? 1 << i : 30)));
    now += length;
  }
}

Test(routing_selector, ends_ejections_when_half_of_the_targets_leave) {
  std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b"), MakeTarget("c"),
                                         MakeTarget("d")};
  TargetSelector selector = MakeSelector(targets);
  FailTarget(selector, kWarm, "a", 5);
  FailTarget(selector, kWarm + milliseconds(1), "b", 5);
  targets[2].draining = true;
  targets[3].draining = true;
  selector.UpdateTargets(kWarm + milliseconds(2), targets);
  cr_assert(!FindDump(selector, kWarm + milliseconds(2), "a").ejected,
            "the ejection that would end first has to end now");
  cr_assert(FindDump(selector, kWarm + milliseconds(2), "b").ejected);
}

// Guards against requests that are refused because all their attempts go to dead targets. This
// happened in a daemon to which other daemons had reported the crashes.
Test(routing_selector, a_dead_target_gets_nothing_until_it_has_restarted) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b"), MakeTarget("c"),
                                               MakeTarget("d"), MakeTarget("e")};
  TargetSelector selector = MakeSelector(targets);
  selector.ReportDead(kWarm, "a");
  selector.ReportDead(kWarm, "b");
  // No more than half of the targets are ejected, whatever is reported.
  selector.ReportDead(kWarm, "c");
  selector.ReportDead(kWarm, "unknown");
  std::map<std::string, int> counts = CountChoices(selector, kWarm + seconds(2), 200);
  cr_assert_eq(counts["a"] + counts["b"], 0);
  cr_assert_gt(counts["c"], 0);
  selector.ReportRestarted("a");
  counts = CountChoices(selector, kWarm + seconds(2), 200);
  cr_assert_gt(counts["a"], 0);
  cr_assert_eq(counts["b"], 0);
}

Test(routing_selector, reports_only_lower_a_weight) {
  std::vector<TargetEndpoint> targets = {MakeTarget("idle"), MakeTarget("busy")};
  targets[1].reported_load_permille = 1000;
  TargetSelector selector = MakeSelector(targets);
  // A report of no load must not hide the requests of this daemon: 3 in flight outweigh it.
  cr_assert(CountChoices(selector, kWarm, 100)["idle"] == 100);
  for (int i = 0; i < 3; ++i) {
    selector.ReportStart("idle");
  }
  cr_assert(CountChoices(selector, kWarm, 100)["busy"] == 100);
}

Test(routing_selector, gives_a_new_target_fewer_requests_until_it_is_warm) {
  std::vector<TargetEndpoint> targets = {MakeTarget("old")};
  TargetSelector selector = MakeSelector(targets);
  targets.push_back(MakeTarget("new"));
  selector.UpdateTargets(kWarm, targets);
  selector.ReportStart("old");
  selector.ReportStart("old");
  cr_assert(CountChoices(selector, kWarm, 100)["old"] == 100,
            "a cold target receives fewer requests");
  cr_assert(CountChoices(selector, kWarm + seconds(10), 100)["new"] == 100);
}

Test(routing_selector, a_shed_request_lowers_the_slots_for_a_time) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a", "c1", "carolinas", 10)};
  TargetSelector selector = MakeSelector(targets);
  for (int i = 0; i < 10; ++i) {
    selector.ReportStart("a");
  }
  selector.ReportFinish(kWarm, "a", TargetOutcome::kShed, milliseconds(1));
  cr_assert_eq(selector.CountUsableSlots(kWarm), 7);
  selector.ReportFinish(kWarm, "a", TargetOutcome::kShed, milliseconds(1));
  cr_assert_eq(selector.CountUsableSlots(kWarm), 7, "one burst of refusals counts once");
  cr_assert_eq(selector.CountUsableSlots(kWarm + seconds(60)), 10);
  for (int i = 1; i < 20; ++i) {
    const TimePoint later = kWarm + milliseconds(200) * i;
    selector.ReportStart("a");
    selector.ReportFinish(later, "a", TargetOutcome::kShed, milliseconds(1));
    cr_assert_geq(selector.CountUsableSlots(later), 1);
  }
  cr_assert(!FindDump(selector, kWarm, "a").ejected, "a shed request is not a failure");
}

Test(routing_selector, explains_the_choice) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a"), MakeTarget("b")};
  TargetSelector selector = MakeSelector(targets);
  std::mt19937_64 random(1);
  selector.ReportStart("b");
  const std::string text = ExplainChoice(selector.Select(kWarm, random, {}));
  cr_assert(text.find("a (same data centre) with 0 in flight on 4 usable slots, less loaded "
                      "than b with 1 in flight") == 0,
            "%s", text.c_str());
}

Test(routing_selector, counts_survive_a_target_that_leaves_and_returns) {
  const std::vector<TargetEndpoint> targets = {MakeTarget("a", "c1", "carolinas", 1)};
  TargetSelector selector = MakeSelector(targets);
  std::mt19937_64 random(1);
  selector.ReportStart("a");
  selector.UpdateTargets(kWarm, {});
  cr_assert(selector.Select(kWarm, random, {}).kind == TargetChoiceKind::kNoneKnown);
  selector.UpdateTargets(kWarm, targets);
  cr_assert(selector.Select(kWarm, random, {}).kind == TargetChoiceKind::kAllFull);
  selector.ReportFinish(kWarm, "a", TargetOutcome::kOk, milliseconds(1));
  selector.ReportFinish(kWarm, "a", TargetOutcome::kOk, milliseconds(1));
  cr_assert_eq(FindDump(selector, kWarm, "a").in_flight, 0,
               "a second ReportFinish must not change the count");
}

namespace {

// Reference model of a selector: the known targets and the requests in flight.
struct SelectorOracle {
  std::map<std::string, TargetEndpoint> known;
  std::map<std::string, std::uint32_t> in_flight;
};

std::vector<TargetEndpoint> DrawTargets() {
  std::vector<TargetEndpoint> targets;
  const int count = *rc::gen::inRange(0, 7);
  for (int i = 0; i < count; ++i) {
    TargetEndpoint target = MakeTarget(
        std::string(1, static_cast<char>('a' + i)), *rc::gen::element<std::string>("c1", "c2"),
        *rc::gen::element<std::string>("carolinas", "georgia"), *rc::gen::inRange(1U, 4U));
    target.draining = *rc::gen::inRange(0, 4) == 0;
    target.reported_load_permille = *rc::gen::inRange(0U, 2000U);
    targets.push_back(target);
  }
  return targets;
}

void CheckChoice(const TargetChoice& choice, const SelectorOracle& oracle,
                 const std::vector<std::string>& excluded) {
  if (choice.kind != TargetChoiceKind::kTarget) {
    return;
  }
  const auto found = oracle.known.find(choice.address);
  RC_ASSERT(found != oracle.known.end());
  RC_ASSERT(!found->second.draining);
  RC_ASSERT(std::find(excluded.begin(), excluded.end(), choice.address) == excluded.end());
  const auto count = oracle.in_flight.find(choice.address);
  const std::uint32_t in_flight = count == oracle.in_flight.end() ? 0 : count->second;
  RC_ASSERT(in_flight < found->second.slots);
}

void CheckState(const TargetSelector& selector, TimePoint now, const SelectorOracle& oracle) {
  std::size_t accepting = 0;
  std::size_t ejected = 0;
  for (const TargetDump& dump : selector.DumpTargets(now)) {
    const auto found = oracle.in_flight.find(dump.address);
    RC_ASSERT(dump.in_flight == (found == oracle.in_flight.end() ? 0 : found->second));
    accepting += dump.draining ? 0 : 1;
    ejected += dump.ejected ? 1 : 0;
  }
  RC_ASSERT(ejected <= accepting / 2);
}

void FinishOne(TargetSelector& selector, TimePoint now, SelectorOracle& oracle) {
  // About half of these reports are for targets without a request and must change nothing.
  const std::string address(1, static_cast<char>('a' + *rc::gen::inRange(0, 7)));
  const auto outcome = *rc::gen::element(
      TargetOutcome::kOk, TargetOutcome::kFailed, TargetOutcome::kFailed, TargetOutcome::kShed,
      TargetOutcome::kConnectionRefused, TargetOutcome::kLostMidRequest);
  selector.ReportFinish(now, address, outcome, milliseconds(3));
  if (oracle.in_flight[address] > 0) {
    --oracle.in_flight[address];
  }
}

void RunSelectorSteps() {
  TargetSelector selector("c1", "carolinas", seconds(1));
  SelectorOracle oracle;
  std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
  TimePoint now{};
  const int steps = *rc::gen::inRange(1, 150);
  for (int step = 0; step < steps; ++step) {
    now += milliseconds(*rc::gen::inRange(0, 300));
    const int kind = *rc::gen::inRange(0, 12);
    if (step == 0 || kind == 0) {
      const std::vector<TargetEndpoint> targets = DrawTargets();
      selector.UpdateTargets(now, targets);
      oracle.known.clear();
      for (const TargetEndpoint& target : targets) {
        oracle.known[target.address] = target;
      }
    } else if (kind < 6) {
      const std::vector<std::string> excluded = {*rc::gen::element<std::string>("a", "b", "x")};
      const TargetChoice choice = selector.Select(now, random, excluded);
      CheckChoice(choice, oracle, excluded);
      if (choice.kind == TargetChoiceKind::kTarget) {
        selector.ReportStart(choice.address);
        ++oracle.in_flight[choice.address];
      }
    } else {
      FinishOne(selector, now, oracle);
    }
    CheckState(selector, now, oracle);
  }
}

}  // namespace

Test(routing_selector, agrees_with_the_oracle_over_random_steps) {
  cr_assert(rc::check("routing selector", RunSelectorSteps));
}
