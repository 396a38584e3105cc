// Guards against one workspace that takes the room of the others by sending more, and against a
// share that changes anything for requests without competing workspaces.
#include <criterion/criterion.h>

#include <string>
#include <vector>

#include "Admission/fair_share.h"
#include "Admission/target_admission.h"
#include "Fakes/share_result.h"
#include "Fakes/target_simulation.h"
#include "Retry/fleet_retry_budget.h"
#include "Retry/request_progress.h"
#include "Routing/share_refusals.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t kSlots = 9;
constexpr Duration kWork = milliseconds(100);
constexpr Duration kLength = seconds(120);
constexpr int kWorkspaces = 83;
constexpr double kHotFactor = 6.5;
// Requests per second of a workspace, so that 1.3 times the room is asked with a hot workspace.
constexpr double kUsualRate = 1.3 * kSlots * 10 / (kWorkspaces - 1 + kHotFactor);

double GetServedShare(const SimulationResult& result) {
  return static_cast<double>(result.on_time + result.late) / result.arrived;
}

// The last workspace sends the given multiple of its usual load. The arrivals of the others are the
// same for each multiple.
ShareResult Replay(double factor, bool with_workspaces, std::uint64_t seed) {
  std::vector<SimulatedLoad> loads(kWorkspaces,
                                   {kUsualRate, 1, kWork, milliseconds(300), milliseconds(2000)});
  loads.back().per_second *= factor;
  for (int i = 0; with_workspaces && i < kWorkspaces; ++i) {
    loads[i].workspace = "w" + std::to_string(i);
  }
  const std::vector<SimulationResult> results = TargetSimulation(kSlots, seed).Run(loads, kLength);
  std::vector<double> shares;
  double served = 0;
  for (const SimulationResult& result : results) {
    shares.push_back(GetServedShare(result));
    served += result.on_time + result.late;
  }
  shares.pop_back();
  ShareResult share;
  SetShares(shares, share);
  const double hot_served = results.back().on_time + results.back().late;
  share.hot = hot_served / ((served - hot_served) / shares.size());
  share.room = served * std::chrono::duration<double>(kWork).count() / kSlots /
               std::chrono::duration<double>(kLength).count();
  return share;
}

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

}  // namespace

// One of 83 workspaces sends 6.5 times its usual load while 1.3 times the room is asked.
Test(fair_share, a_hot_workspace_costs_the_others_little) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const ShareResult usual = Replay(1, true, seed);
    const ShareResult today = Replay(kHotFactor, false, seed);
    const ShareResult fair = Replay(kHotFactor, true, seed);
    Print("usual", usual);
    Print("no workspaces", today);
    Print("fair", fair);
    cr_assert_geq(fair.others, 0.98 * usual.others);
    cr_assert_geq(fair.worst_tenth, 0.85 * fair.others);
    cr_assert_geq(fair.least, 0.5 * fair.others);
    cr_assert_geq(fair.room, 0.95);
    cr_assert_gt(fair.others, today.others);
  }
}

Test(fair_share, room_that_nobody_else_wants_goes_to_the_one_that_sends) {
  std::vector<SimulatedLoad> loads = {
      {80, 1, kWork, milliseconds(300), milliseconds(2000), 0, {}, "hot"},
      {2, 1, kWork, milliseconds(300), milliseconds(2000), 0, {}, "small"}};
  const std::vector<SimulationResult> fair = TargetSimulation(kSlots, 1).Run(loads, kLength);
  loads[0].workspace = "";
  loads[1].workspace = "";
  const std::vector<SimulationResult> today = TargetSimulation(kSlots, 1).Run(loads, kLength);
  cr_assert_geq(GetServedShare(fair[0]), GetServedShare(today[0]) - 0.02);
  cr_assert_geq(GetServedShare(fair[1]), GetServedShare(today[1]));
}

Test(fair_share, one_workspace_or_none_changes_nothing) {
  std::vector<SimulatedLoad> loads = {
      {100, 1, kWork, milliseconds(300), milliseconds(2000), 1, milliseconds(200)},
      {30, 0, milliseconds(22), milliseconds(100), milliseconds(250)}};
  const std::vector<SimulationResult> without = TargetSimulation(kSlots, 2).Run(loads, seconds(30));
  loads[0].workspace = "only";
  const std::vector<SimulationResult> with = TargetSimulation(kSlots, 2).Run(loads, seconds(30));
  for (std::size_t i = 0; i < loads.size(); ++i) {
    cr_assert_eq(without[i].on_time, with[i].on_time);
    cr_assert_eq(without[i].late, with[i].late);
    cr_assert_eq(without[i].refused, with[i].refused);
  }
}

// Two workspaces are beyond their share by nearly the same amount.
Test(fair_share, the_objective_decides_between_similar_excesses) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 3);
  RequestId last_id = 0;
  const auto offer = [&](int now, const char* workspace, int objective) {
    WorkOffer work{++last_id, 1, At(now + objective), At(now + 4000)};
    work.workspace = workspace;
    return admission.Offer(At(now), work);
  };
  for (const char* workspace : {"less", "more", "small", "less", "more", "small"}) {
    offer(0, workspace, 1000);
  }
  admission.Finish(At(10), 1);
  admission.Finish(At(11), 2);
  offer(11, "less", 1000);
  admission.Finish(At(12), 3);
  admission.Finish(At(40), 6);
  admission.Finish(At(1000), 4);
  admission.Finish(At(1010), 5);
  admission.Finish(At(1020), 7);
  cr_assert_gt(admission.GetShareWait(At(1020), "less").count(), 0);
  cr_assert_gt(admission.GetShareWait(At(1020), "more").count(),
               admission.GetShareWait(At(1020), "less").count());
  for (int i = 0; i < 3; ++i) {
    offer(1020, "small", 1000);
  }
  cr_assert_eq(offer(1020, "less", 1100), AdmissionVerdict::kQueued);
  cr_assert_eq(offer(1020, "more", 1000), AdmissionVerdict::kQueued);
  const AdmissionRelease release = admission.Finish(At(1030), 8);
  cr_assert_eq(release.admitted.size(), 1);
  cr_assert_eq(release.admitted[0], last_id);
}

Test(fair_share, use_beyond_the_mean_is_excess_and_is_forgotten) {
  FairShare shares;
  shares.AddUse(At(0), "small", kWork);
  cr_assert_eq(shares.GetExcess(At(0), "small").count(), 0);
  shares.AddUse(At(0), "hot", 5 * kWork);
  cr_assert_geq(shares.GetExcess(At(0), "hot").count(), (19 * kWork / 10).count());
  cr_assert_eq(shares.GetExcess(At(0), "small").count(), 0);
  cr_assert_eq(shares.GetExcess(At(0), "unknown").count(), 0);
  cr_assert_eq(shares.GetExcess(At(0), "").count(), 0);
  cr_assert_leq(shares.GetExcess(At(15'000), "hot").count(), (kWork / 5).count());
}

Test(fair_share, the_state_is_bounded) {
  FairShare shares;
  for (std::size_t i = 0; i < 3 * FairShare::kMaxWorkspaces; ++i) {
    shares.AddUse(At(static_cast<int>(i)), "w" + std::to_string(i), kWork);
  }
  cr_assert_leq(shares.GetWorkspaceCount(), FairShare::kMaxWorkspaces);
}

Test(fair_share, a_refusal_because_of_the_share_says_so) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 2);
  RequestId last_id = 0;
  const auto offer = [&](int now, const char* workspace, int objective) {
    WorkOffer work{++last_id, 1, At(now + objective), At(now + 2000)};
    work.workspace = workspace;
    return admission.Offer(At(now), work);
  };
  for (const char* workspace : {"hot", "hot", "hot", "small"}) {
    offer(0, workspace, 1000);
  }
  admission.Finish(At(40), 1);
  offer(40, "hot", 1000);
  admission.Finish(At(45), 2);
  admission.Finish(At(85), 4);
  cr_assert_eq(admission.GetShareWait(At(85), "hot").count(), 0);
  // The third request of the hot workspace has taken a slot for long while others waited.
  admission.Finish(At(1000), 3);
  admission.Finish(At(1000), 5);
  cr_assert_gt(admission.GetShareWait(At(1000), "hot").count(), 0);
  cr_assert_eq(admission.CountShares(At(1000)).known, 2);
  cr_assert_eq(admission.CountShares(At(1000)).beyond, 1);
  cr_assert_eq(admission.CountShares(At(20'000)).beyond, 0);
  cr_assert_eq(admission.GetShareWait(At(1000), "small").count(), 0);
  for (int i = 0; i < 4; ++i) {
    offer(1000, "small", 1000);
  }
  cr_assert_eq(offer(1000, "small", 1000), AdmissionVerdict::kRefusedQueueFull);
  cr_assert_eq(offer(1000, "hot", 1000), AdmissionVerdict::kRefusedQueueFull);
  cr_assert_eq(offer(1000, "hot", 990), AdmissionVerdict::kRefusedBeyondShare);
}

Test(fair_share, refusals_are_remembered_for_a_bounded_time_and_number) {
  ShareRefusals refusals;
  refusals.Record(At(0), {"hot"}, "a", milliseconds(300));
  refusals.Record(At(0), {"hot"}, "b", seconds(30));
  refusals.Record(At(0), {"hot"}, "c", milliseconds(0));
  refusals.Record(At(0), {""}, "a", milliseconds(300));
  cr_assert_eq(refusals.GetCount(), 2);
  cr_assert_eq(refusals.FindPeers(At(299), {"hot"}).size(), 2);
  cr_assert_eq(refusals.GetLeastWait(At(200), {"hot"}), Duration(milliseconds(100)));
  cr_assert_eq(refusals.FindPeers(At(300), {"hot"}).size(), 1);
  cr_assert(refusals.FindPeers(At(1000), {"hot"}).empty());
  cr_assert(refusals.FindPeers(At(0), {"small"}).empty());
  for (std::size_t i = 0; i < 2 * ShareRefusals::kMaxEntries; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    refusals.Record(At(0), {workspace}, "a", milliseconds(300));
  }
  cr_assert_eq(refusals.GetCount(), ShareRefusals::kMaxEntries);
  refusals.Record(At(2000), {"hot"}, "a", milliseconds(300));
  cr_assert_eq(refusals.GetCount(), 1);
}

Test(fair_share, a_request_is_refused_at_once_after_enough_refusals_of_its_workspace) {
  RequestFacts facts;
  facts.deadline = At(2000);
  facts.timeout_at = At(2000);
  FleetRetryBudget budget;
  RequestProgress first(facts);
  cr_assert_eq(first.HandleShareRefusals(1).action, ProgressAction::kPlace);
  const HopEnd no_room{HopOutcome::kRefused};
  HopEnd beyond_share = no_room;
  beyond_share.beyond_share = true;
  cr_assert_eq(first.HandleHopEnd(At(0), no_room, budget).action, ProgressAction::kPlace);
  const ProgressDecision last = first.HandleHopEnd(At(0), beyond_share, budget);
  cr_assert_eq(last.action, ProgressAction::kRefuse);
  cr_assert_eq(last.reason, ProgressReason::kBeyondShare);
  RequestProgress second(facts);
  cr_assert_eq(second.HandleShareRefusals(kMaxRefusedHops).action, ProgressAction::kRefuse);
}
