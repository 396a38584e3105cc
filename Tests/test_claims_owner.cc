// Guards against daemons that disagree on the owner of a key, against owner maps that change
// too early, too often or by the decision of a minority, and against owners that grant keys
// while other hosts may remove them from the map.
#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Claims/claim_isolation.h"
#include "Claims/claim_owner_planner.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_shards.h"
#include "Claims/claim_transfer.h"
#include "Core/hash.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::minutes;
using std::chrono::seconds;
using HostStatus = ClaimHostStatus;

namespace {

constexpr TimePoint kStart{};
const std::vector<std::string> kHosts = {"a", "b", "c", "d", "e"};

ClaimOwnerView MakeView(std::uint64_t epoch, std::vector<std::string> hosts,
                        std::vector<std::uint64_t> incarnations = {}) {
  ClaimOwnerView view;
  view.Adopt(ClaimOwnerMap{epoch, std::move(hosts), std::move(incarnations), 0});
  return view;
}

ClaimOwnerPlanner MakePlanner(TimePoint now, const std::vector<std::string>& hosts) {
  ClaimOwnerPlanner planner{ClaimPlannerLimits{}};
  for (const std::string& host : hosts) {
    planner.NoteHost(now, host, 1, HostStatus::kAlive);
  }
  return planner;
}

}  // namespace

Test(claims_owner, a_view_adopts_only_larger_epochs_and_finds_the_same_owner_as_select_by_hash) {
  ClaimOwnerView view = MakeView(2, kHosts);
  cr_assert_not(view.Adopt(ClaimOwnerMap{2, {"x"}, {}, 0}));
  cr_assert_not(view.Adopt(ClaimOwnerMap{1, {"x"}, {}, 0}));
  for (int i = 0; i < 500; ++i) {
    const std::string key = std::to_string(i);
    cr_assert(view.FindOwner(key) == kHosts[SelectByHash(key, kHosts)]);
  }
  cr_assert(view.Adopt(ClaimOwnerMap{3, {"x"}, {}, 0}));
  cr_assert(view.FindOwner("k") == "x");
  cr_assert(ClaimOwnerView().FindOwner("k").empty());
  cr_assert(MakeView(1, {"a", "b"}, {4, 5}).WasAddedWithIncarnation("b", 5));
  cr_assert_not(MakeView(1, {"a", "b"}, {4, 5}).WasAddedWithIncarnation("b", 6));
  cr_assert_not(MakeView(1, {"a", "b"}, {4}).WasAddedWithIncarnation("b", 5));
}

Test(claims_owner, the_first_map_names_the_running_processes_once_none_joins) {
  ClaimOwnerPlanner planner = MakePlanner(kStart, {"a", "b"});
  cr_assert_not(planner.Propose(kStart + seconds(4), 0, {}, true).has_value());
  cr_assert_not(planner.Propose(kStart + seconds(5), 0, {}, false).has_value());
  const auto first = planner.Propose(kStart + seconds(5), 0, {}, true);
  const ClaimOwnerMap expected{1, {"a", "b"}, {1, 1}, 0};
  cr_assert(first == expected);
  planner.NoteHost(kStart + seconds(6), "b", 2, HostStatus::kAlive);
  cr_assert_not(planner.Propose(kStart + seconds(7), 0, {}, true).has_value());
}

Test(claims_owner, a_host_is_added_after_a_delay_and_changes_keep_an_interval) {
  ClaimOwnerPlanner planner = MakePlanner(kStart, kHosts);
  planner.NoteHost(kStart, "new", 1, HostStatus::kAlive);
  const ClaimOwnerView view = MakeView(1, kHosts);
  cr_assert_not(planner.Propose(kStart, 0, view, false).has_value());
  cr_assert_not(planner.Propose(kStart + seconds(59), 0, view, false).has_value());
  const auto next = planner.Propose(kStart + seconds(60), 0, view, false);
  cr_assert(next.has_value() && next->epoch == 2 && next->hosts.back() == "new");
  cr_assert(next->incarnations == std::vector<std::uint64_t>({0, 0, 0, 0, 0, 1}));
  planner.NoteHost(kStart + seconds(60), "a", 1, HostStatus::kDraining);
  const ClaimOwnerView second = MakeView(2, next->hosts);
  cr_assert_not(planner.Propose(kStart + seconds(61), 0, second, false).has_value());
  cr_assert_not(planner.Propose(kStart + seconds(90), 0, second, false).has_value());
  const auto third = planner.Propose(kStart + seconds(91), 0, second, false);
  cr_assert(third.has_value() && third->hosts.size() == 5 && third->hosts.front() == "b");
}

Test(claims_owner, a_lost_host_is_removed_after_its_claims_expired_and_not_by_a_minority) {
  ClaimOwnerPlanner planner = MakePlanner(kStart, kHosts);
  const ClaimOwnerView view = MakeView(1, kHosts);
  planner.Propose(kStart, 0, view, false);
  planner.NoteHost(kStart, "a", 1, HostStatus::kGone);
  planner.NoteHost(kStart, "new", 1, HostStatus::kAlive);
  cr_assert_not(planner.Propose(kStart + minutes(10), 0, view, false).has_value());
  const auto next = planner.Propose(kStart + minutes(11), 0, view, false);
  cr_assert(next.has_value() && next->hosts == std::vector<std::string>({"b", "c", "d", "e"}));
  planner.NoteHost(kStart, "b", 1, HostStatus::kGone);
  cr_assert_not(planner.Propose(kStart + minutes(30), 0, view, false).has_value());
  ClaimOwnerPlanner fresh{ClaimPlannerLimits{}};
  fresh.NoteHost(kStart, "new", 1, HostStatus::kAlive);
  fresh.Propose(kStart, 0, view, false);
  cr_assert_not(fresh.Propose(kStart + minutes(30), 0, view, false).has_value());
}

Test(claims_owner, an_owner_detects_its_isolation_before_it_can_be_removed) {
  const ClaimOwnerView view = MakeView(1, kHosts);
  ClaimIsolation isolation(kStart, "a", ClaimLimits().GetClaimLifetime());
  isolation.NoteHeard(kStart + minutes(1), "b");
  cr_assert_not(isolation.IsIsolated(kStart + minutes(5), view), "the process has just started");
  cr_assert_not(isolation.IsIsolated(kStart + minutes(6), view));
  cr_assert(isolation.IsIsolated(kStart + minutes(7), view));
  isolation.NoteHeard(kStart + minutes(8), "c");
  cr_assert_not(isolation.IsIsolated(kStart + minutes(8), view));
}

Test(claims_owner, a_handover_between_sharded_owners_moves_every_claim) {
  constexpr std::size_t kShards = 4;
  ClaimShards from = GetValue(ClaimShards::Create("a", 1, {}, kShards));
  ClaimShards to = GetValue(ClaimShards::Create("b", 2, {}, kShards));
  ClaimTransfer transfer("a");
  const ClaimOwnerView first = MakeView(1, {"a"}, {1});
  from.AdoptMap(kStart, first);
  to.AdoptMap(kStart, first);
  transfer.AdoptMap(first);
  for (std::uint64_t i = 1; i <= 100; ++i) {
    const std::string key = std::to_string(i);
    cr_assert(from.Claim(kStart, 0, {key, 0, 1, i, "c", 1}).decision == ClaimDecision::kGranted);
    cr_assert(from.Finish(kStart, {key, i, ClaimOutcome::kDone, 200, std::string(2000, 'x'), ""})
                  .recorded);
  }
  const ClaimOwnerView second = MakeView(2, {"b"}, {2});
  from.AdoptMap(kStart, second);
  to.AdoptMap(kStart, second);
  transfer.AdoptMap(second);
  cr_assert_eq(to.ListWaits(kStart).size(), 1);
  for (int parts = 0; !transfer.IsDone(); ++parts) {
    cr_assert_lt(parts, 10);
    const ClaimTransferRequest part = *transfer.MakePart(kStart, from, "b");
    to.AcceptTransfer(kStart, part);
    transfer.HandleReply(from, "b", part, to.AcceptTransfer(kStart, part));
  }
  cr_assert_eq(from.GetKeyCount(), 0);
  cr_assert_eq(to.GetKeyCount(), 100);
  cr_assert(to.ListWaits(kStart).empty());
  cr_assert(to.Claim(kStart, 0, {"1", 0, 2, 500, "c", 1}).decision == ClaimDecision::kAlreadyDone);
}
