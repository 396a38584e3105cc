// Guards against daemons of callers that offer work beyond the share of its workspace to target
// after target, in a fleet of several daemons.
#include <criterion/criterion.h>

#include <algorithm>
#include <vector>

#include "Fakes/fleet_simulation.h"
#include "Fakes/share_result.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kWork = milliseconds(100);
constexpr int kWorkspaces = 83;
constexpr double kHotFactor = 6.5;

struct FleetShareResult : ShareResult {
  // Of the hot workspace.
  double hops_per_refusal = 0;
};

FleetLoad MakeFleet() {
  FleetLoad load;
  load.daemons = 70;
  load.data_centres = 6;
  load.regions = 3;
  load.targets = 29;
  load.slots = 9;
  load.speeds = {0.6, 1.0, 1.4};
  load.mean_work = kWork;
  load.objective = milliseconds(300);
  load.deadline = milliseconds(2000);
  load.resends = 1;
  load.workspaces = kWorkspaces;
  load.hot_factor = kHotFactor;
  load.per_second = 1.3 * load.CountServable();
  return load;
}

FleetShareResult ReplayFleet(const FleetLoad& load, std::uint64_t seed) {
  constexpr Duration kFleetLength = seconds(20);
  const FleetResult result = FleetSimulation(load, seed).Run(kFleetLength);
  FleetShareResult share;
  std::vector<double> shares;
  double served = 0;
  for (std::size_t i = 1; i < load.workspaces; ++i) {
    shares.push_back(static_cast<double>(result.served_by_workspace[i]) /
                     result.arrived_by_workspace[i]);
    served += result.served_by_workspace[i];
  }
  SetShares(shares, share);
  share.hot = result.served_by_workspace[0] / (served / static_cast<double>(shares.size()));
  share.room = std::chrono::duration<double>(result.slot_time) /
               std::chrono::duration<double>(kFleetLength) /
               static_cast<double>(load.targets * load.slots);
  share.hops_per_refusal = static_cast<double>(result.refused_hops_by_workspace[0]) /
                           std::max(result.refusals_by_workspace[0], 1U);
  return share;
}

void Print(const char* name, const FleetShareResult& share) {
  Print(name, static_cast<const ShareResult&>(share));
  cr_log_info("%s: %.2f hops for each refusal", name, share.hops_per_refusal);
}

}  // namespace

// Several daemons feed 29 targets. The daemons beside the targets tell the others about shares, so
// that these do not offer what would be refused.
Test(share_fleet, work_beyond_the_share_is_not_offered_to_target_after_target) {
  FleetLoad load = MakeFleet();
  double told_others = 0;
  double untold_others = 0;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const FleetShareResult told = ReplayFleet(load, seed);
    load.states_share_wait = false;
    const FleetShareResult untold = ReplayFleet(load, seed);
    load.states_share_wait = true;
    Print("told", told);
    Print("not told", untold);
    told_others += told.others / 3;
    untold_others += untold.others / 3;
    cr_assert_leq(told.hops_per_refusal, 0.6 * untold.hops_per_refusal);
    cr_assert_geq(told.worst_tenth, 0.85 * told.others);
    cr_assert_geq(told.least, 0.5 * told.others);
    cr_assert_geq(told.room, 0.95);
    // The workspace still gets its share.
    cr_assert_geq(told.hot, 1);
  }
  // Three times the standard deviation of the number of served requests.
  cr_assert_geq(told_others, untold_others - 0.003);
}

// One workspace asks for nearly all the room that there is.
Test(share_fleet, daemons_that_are_told_of_shares_use_the_room_that_is_left) {
  FleetLoad load = MakeFleet();
  load.workspaces = 2;
  load.hot_factor = 40;
  const FleetShareResult told = ReplayFleet(load, 1);
  load.states_share_wait = false;
  const FleetShareResult untold = ReplayFleet(load, 1);
  Print("told", told);
  Print("not told", untold);
  cr_assert_geq(told.room, untold.room - 0.02);
  cr_assert_geq(told.others, untold.others);
}
