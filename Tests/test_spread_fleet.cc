// Guards against versions that do not reach every daemon in time, daemons that return to an older
// version, and versions that cross a region link more often than needed.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

#include "Fakes/fake_fleet.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 20261204;

std::string_view GetDataCentre(std::string_view address) {
  return address.substr(address.find('@') + 1);
}

// Two regions with two data centres each. No daemon watches the store; the collector of each data
// centre is its relay.
FakeFleet MakeRegions(std::size_t daemons) {
  FakeFleet fleet({{"raleigh", "carolinas", daemons},
                   {"durham", "carolinas", daemons},
                   {"atlanta", "georgia", daemons},
                   {"macon", "georgia", daemons}},
                  kSeed);
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
  }
  fleet.network.SetFaults(0.05, 0.01);
  fleet.Run(seconds(3));
  return fleet;
}

void CheckConvergence(std::size_t delta_bytes) {
  FakeFleet fleet({{"raleigh", "carolinas", 225}}, kSeed);
  fleet.network.SetFaults(0.05, 0.01);
  fleet.Run(seconds(3));
  for (std::uint64_t number = 1; number <= 3; ++number) {
    fleet.Get(number * 31)
        .Hold(FakeFleet::MakeStamp(number), FakeFleet::MakeDelta(number, delta_bytes),
              fleet.GetNow());
    const TimePoint accepted = fleet.GetNow();
    cr_assert(fleet.RunUntil(seconds(6), [&] { return fleet.CountHolding(number) == 225; }));
    std::fprintf(stderr, "version %d with %zu bytes of delta on 225 daemons after %ld ms\n",
                 static_cast<int>(number), delta_bytes,
                 CountMilliseconds(fleet.GetNow() - accepted));
  }
}

}  // namespace

Test(spread_fleet, small_version_converges_within_6_s) { CheckConvergence(300); }

Test(spread_fleet, version_too_large_for_a_datagram_converges_within_6_s) {
  CheckConvergence(100'000);
}

Test(spread_fleet, paused_daemon_catches_up_after_it_resumes) {
  FakeFleet fleet({{"raleigh", "carolinas", 30}}, kSeed);
  fleet.SetPaused(4, true);
  for (std::uint64_t number = 1; number <= 5; ++number) {
    fleet.Get(0).Hold(FakeFleet::MakeStamp(number), FakeFleet::MakeDelta(number, 200),
                      fleet.GetNow());
    fleet.Run(seconds(1));
  }
  fleet.SetPaused(4, false);
  cr_assert(fleet.RunUntil(seconds(6), [&] { return fleet.CountHolding(5) == 30; }));
}

Test(spread_fleet, concurrent_versions_converge_and_never_go_back) {
  cr_assert(rc::check([] {
    FakeFleet fleet({{"raleigh", "carolinas", 12}}, *rc::gen::inRange<std::uint64_t>(0, 1000));
    fleet.network.SetFaults(0.3, 0.1);
    std::vector<std::uint64_t> held(12, 0);
    std::uint64_t newest = 0;
    for (const auto& [index, number] : *rc::gen::container<std::vector<std::pair<int, int>>>(
             rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(1, 9)))) {
      newest = std::max<std::uint64_t>(newest, number);
      fleet.Get(index).Hold(FakeFleet::MakeStamp(number), FakeFleet::MakeDelta(number, 50),
                            fleet.GetNow());
      fleet.Run(std::chrono::milliseconds(20));
      for (std::size_t i = 0; i < held.size(); ++i) {
        RC_ASSERT(fleet.Get(i).node.GetHeld().number >= held[i]);
        held[i] = fleet.Get(i).node.GetHeld().number;
      }
    }
    RC_ASSERT(fleet.RunUntil(seconds(20), [&] { return fleet.CountHolding(newest) == 12; }));
  }));
}

Test(spread_fleet, regions_without_a_reachable_store_converge_within_6_s) {
  FakeFleet fleet = MakeRegions(20);
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    fleet.Get(i).role.store_reachable = false;
  }
  fleet.Get(5).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 300), fleet.GetNow());
  cr_assert(fleet.RunUntil(seconds(6), [&] { return fleet.CountHolding(1) == 80; }));
}

Test(spread_fleet, large_version_crosses_the_region_link_once) {
  FakeFleet fleet = MakeRegions(20);
  std::size_t crossings = 0;
  fleet.network.SetPartition([&](std::string_view from, std::string_view to) {
    const auto is_carolinas = [](std::string_view address) {
      return GetDataCentre(address) == "raleigh" || GetDataCentre(address) == "durham";
    };
    crossings += is_carolinas(from) && !is_carolinas(to) ? 1 : 0;
    return false;
  });
  fleet.Get(5).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 100'000), fleet.GetNow());
  cr_assert(fleet.RunUntil(seconds(10), [&] { return fleet.CountHolding(1) == 80; }));
  std::size_t fetched_over_link = 0;
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    fetched_over_link += fleet.Get(i).cross_region_fetches;
  }
  std::fprintf(stderr, "packets over the region link: %zu, fetches: %zu\n", crossings,
               fetched_over_link);
  cr_assert_eq(fetched_over_link, 1U);
}

Test(spread_fleet, sibling_uses_the_region_link_when_the_first_data_centre_is_partitioned) {
  FakeFleet fleet = MakeRegions(10);
  const std::string first = SpreadRelay::GetFirstDataCentre(fleet.Get(0).table, "georgia");
  fleet.network.SetPartition([&](std::string_view from, std::string_view to) {
    return (GetDataCentre(from) == first) != (GetDataCentre(to) == first);
  });
  fleet.Run(seconds(30));
  fleet.Get(5).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 300), fleet.GetNow());
  cr_assert(fleet.RunUntil(seconds(10), [&] { return fleet.CountHolding(1) == 30; }));
}

Test(spread_fleet, draining_state_reaches_other_data_centres) {
  FakeFleet fleet = MakeRegions(20);
  const std::string host = fleet.Get(5).table.GetSelf().host;
  fleet.Get(5).table.SetOwnDraining();
  cr_assert(fleet.RunUntil(seconds(15),
                           [&] { return fleet.CountState(host, MemberState::kDraining) == 80; }));
}

Test(spread_fleet, progress_shows_lagging_members) {
  FakeFleet fleet = MakeRegions(20);
  fleet.SetPaused(7, true);
  fleet.Get(5).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 300), fleet.GetNow());
  const auto count_lagging = [&](std::uint32_t lagging) {
    return fleet.Count([&](const FakeDaemon& daemon) {
      const auto list = daemon.progress.List(fleet.GetNow());
      const auto entry = std::ranges::find(list, "raleigh", &DataCentreProgress::data_centre);
      return entry != list.end() && entry->lagging_count == lagging &&
             entry->lowest.number == (lagging == 0 ? 1U : 0U);
    });
  };
  cr_assert(fleet.RunUntil(seconds(4), [&] { return count_lagging(1) > 0; }));
  fleet.SetPaused(7, false);
  cr_assert(fleet.RunUntil(seconds(30), [&] { return count_lagging(0) == 80; }));
}

// The limit includes the exchanges between data centres. The daemon that sends most is a relay.
Test(spread_fleet, relays_stay_below_4_kb_per_second) {
  FakeFleet fleet = MakeRegions(225);
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    before.push_back(fleet.network.GetSentBytes(fleet.Get(i).GetAddress()));
  }
  fleet.Get(5).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 300), fleet.GetNow());
  constexpr int kSeconds = 30;
  fleet.Run(seconds(kSeconds));
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    most = std::max(most, fleet.network.GetSentBytes(fleet.Get(i).GetAddress()) - before[i]);
  }
  std::fprintf(stderr, "most sent bytes per second: %.0f\n", static_cast<double>(most) / kSeconds);
  cr_assert_lt(most / kSeconds, 4000U);
}
