// Guards against undetected crashes, against the removal of members that are alive (after a
// pause, a partition or packet loss), against late information about draining and against
// control traffic beyond its budget. Most tests use 225 daemons in one data centre.
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <string>

#include "Fakes/fake_fleet.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kDaemons = 225;
constexpr std::uint64_t kSeed = 20261204;

FakeFleet MakeFleet(std::size_t daemons = kDaemons) {
  FakeFleet fleet({{"raleigh", "carolinas", daemons}}, kSeed);
  fleet.network.SetFaults(0.05, 0.01);
  fleet.Run(seconds(5));
  return fleet;
}

std::size_t CountDeaths(const FakeFleet& fleet) {
  return fleet.Count([](const FakeDaemon& daemon) { return daemon.HasSeen(Event::kMemberDead); });
}

}  // namespace

// At an interval of 1 s, one of the 224 peers probes the crashed host within a few seconds.
// Then it takes 1 s until the suspicion, 5 s until the death and a few rounds of gossip.
Test(membership_fleet, crash_is_detected_by_all_daemons) {
  FakeFleet fleet = MakeFleet();
  const std::string host = fleet.Get(17).table.GetSelf().host;
  fleet.SetDown(17, true);
  cr_assert(fleet.RunUntil(
      seconds(15), [&] { return fleet.CountState(host, MemberState::kDead) == kDaemons - 1; }));
}

Test(membership_fleet, refused_connection_shortens_suspicion) {
  FakeFleet fleet = MakeFleet();
  FakeDaemon& observer = fleet.Get(3);
  const std::string host = fleet.Get(17).table.GetSelf().host;
  fleet.SetDown(17, true);
  observer.prober.HandleRefused(observer.table, host, fleet.GetNow());
  cr_assert(fleet.RunUntil(
      seconds(3), [&] { return fleet.CountState(host, MemberState::kDead) == kDaemons - 1; }));
}

Test(membership_fleet, refused_connection_to_a_live_process_is_refuted) {
  FakeFleet fleet = MakeFleet();
  FakeDaemon& observer = fleet.Get(3);
  const std::string host = fleet.Get(17).table.GetSelf().host;
  observer.prober.HandleRefused(observer.table, host, fleet.GetNow());
  fleet.Run(seconds(10));
  cr_assert_eq(fleet.CountState(host, MemberState::kAlive), kDaemons);
}

Test(membership_fleet, pause_is_refuted) {
  FakeFleet fleet = MakeFleet();
  const std::string host = fleet.Get(17).table.GetSelf().host;
  fleet.SetPaused(17, true);
  fleet.Run(seconds(4));
  fleet.SetPaused(17, false);
  fleet.Run(seconds(12));
  cr_assert_eq(fleet.CountState(host, MemberState::kAlive), kDaemons);
  cr_assert_eq(CountDeaths(fleet), 0U);
}

Test(membership_fleet, paused_daemon_does_not_declare_others_dead) {
  FakeFleet fleet = MakeFleet();
  FakeDaemon& paused = fleet.Get(17);
  fleet.SetPaused(17, true);
  fleet.Run(seconds(40));
  paused.events.clear();
  fleet.SetPaused(17, false);
  cr_assert(fleet.RunUntil(seconds(15),
                           [&] {
                             return fleet.CountState(paused.table.GetSelf().host,
                                                     MemberState::kAlive) == kDaemons;
                           }),
            "a daemon that was declared dead joins again");
  cr_assert_not(paused.HasSeen(Event::kMemberDead));
  cr_assert_not(paused.HasSeen(Event::kViewDistrusted));
}

Test(membership_fleet, packet_loss_removes_no_member) {
  FakeFleet fleet = MakeFleet();
  fleet.Run(seconds(60));
  cr_assert_eq(CountDeaths(fleet), 0U);
}

Test(membership_fleet, partition_of_half_a_data_centre_removes_no_member) {
  FakeFleet fleet = MakeFleet();
  fleet.network.SetPartition([](std::string_view from, std::string_view to) {
    const auto is_left = [](std::string_view address) {
      return address[address.find('@') - 6] % 2;
    };
    return is_left(from) != is_left(to);
  });
  fleet.Run(seconds(90));
  cr_assert_eq(CountDeaths(fleet), 0U);
  cr_assert_eq(fleet.Count([](const FakeDaemon& daemon) {
    return daemon.prober.IsDistrusted() && daemon.HasSeen(Event::kViewDistrusted);
  }),
               kDaemons);
  fleet.network.SetPartition({});
  cr_assert(fleet.RunUntil(seconds(60), [&] {
    return fleet.Count([](const FakeDaemon& daemon) { return daemon.prober.IsDistrusted(); }) == 0;
  }));
  fleet.Run(seconds(60));
  cr_assert_eq(CountDeaths(fleet), 0U);
}

Test(membership_fleet, drain_is_known_to_all_daemons_within_2_s) {
  FakeFleet fleet = MakeFleet();
  for (const std::size_t index : {17U, 99U, 201U}) {
    const std::string host = fleet.Get(index).table.GetSelf().host;
    fleet.Get(index).table.SetOwnDraining();
    cr_assert(fleet.RunUntil(
        seconds(2), [&] { return fleet.CountState(host, MemberState::kDraining) == kDaemons; }));
  }
}

Test(membership_fleet, suspicion_does_not_hide_draining) {
  FakeFleet fleet = MakeFleet(12);
  const std::string host = fleet.Get(3).table.GetSelf().host;
  fleet.Get(3).table.SetOwnDraining();
  fleet.Run(seconds(2));
  fleet.SetPaused(3, true);
  fleet.Run(seconds(4));
  cr_assert_eq(fleet.CountState(host, MemberState::kDraining), 11U);
}

Test(membership_fleet, restart_replaces_the_old_record) {
  FakeFleet fleet = MakeFleet(30);
  FakeDaemon& daemon = fleet.Get(3);
  const std::uint64_t incarnation = daemon.table.GetSelf().incarnation;
  daemon.table.RestartAbove(incarnation);
  cr_assert(fleet.RunUntil(seconds(6), [&] {
    return fleet.Count([&](const FakeDaemon& other) {
      return other.table.Find(daemon.table.GetSelf().host)->incarnation == incarnation + 1;
    }) == 30;
  }));
}

// The test runs one version change in a minute, as 1,400 changes a day are, at 5% packet loss.
// The budget of a daemon is 4 KB/s, including IP and UDP headers.
Test(membership_fleet, control_bytes_stay_below_4_kb_per_second) {
  FakeFleet fleet = MakeFleet();
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    before.push_back(fleet.network.GetSentBytes(fleet.Get(i).GetAddress()));
  }
  fleet.Get(0).Hold(FakeFleet::MakeStamp(1), FakeFleet::MakeDelta(1, 300), fleet.GetNow());
  constexpr int kSeconds = 60;
  fleet.Run(seconds(kSeconds));
  std::uint64_t most = 0;
  std::uint64_t total = 0;
  for (std::size_t i = 0; i < fleet.GetCount(); ++i) {
    const std::uint64_t sent = fleet.network.GetSentBytes(fleet.Get(i).GetAddress()) - before[i];
    most = std::max(most, sent);
    total += sent;
  }
  std::fprintf(stderr, "sent per daemon and second: mean %.0f bytes, most %.0f bytes\n",
               static_cast<double>(total) / static_cast<double>(kDaemons) / kSeconds,
               static_cast<double>(most) / kSeconds);
  // On average a daemon receives as many bytes as it sends, so the sent bytes count twice.
  cr_assert_lt(2 * most / kSeconds, 4000U);
}
