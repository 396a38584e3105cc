// The store leaves one machine without answers for a second, in which the operator moves a route.

#include <algorithm>
#include <string>
#include <vector>

#include "stand_ins/case_runner.h"

namespace lacewingbridge::review {
namespace {

// The dose of the site file is 9 s, for a share of 0.33 of the machines; here it is one of four.
constexpr Milliseconds kSilence{1000};
constexpr Milliseconds kAfterRenewal{50};
constexpr Milliseconds kChangeAfter{300};
constexpr Milliseconds kConfigApply{2000};
constexpr Milliseconds kSkewMax{5000};
constexpr Milliseconds kStabilityWindow{3000};
constexpr Milliseconds kDeadline{2000};
constexpr Milliseconds kWork{30};
// Requests are sent for this long after the acknowledgement, one at each machine per interval.
constexpr Milliseconds kObserved{20000};
constexpr Milliseconds kInterval{250};

int RunCase(const char* record_path) {
  CaseRunner runner(record_path);
  const MachineOptions old_home = runner.MakeMachine(1, "huvo11a");
  const MachineOptions new_home = runner.MakeMachine(2, "kafi81c");
  const MachineOptions third = runner.MakeMachine(3, "kafi81c");
  const MachineOptions fourth = runner.MakeMachine(4, "kafi81c");
  const std::vector<DaemonProcess*> daemons = {&runner.AddDaemon(old_home),
                                               &runner.AddDaemon(new_home),
                                               &runner.AddDaemon(third), &runner.AddDaemon(fourth)};
  const std::vector<std::string> services = {"huvo11a", "kafi81c"};
  runner.GetStore().Put(
      "op/config",
      MakeConfiguration(4, {{"r-look", "/lepu270/", "safe", "huvo11a", "1000ms"}}, services));
  runner.StartDaemons();
  UpstreamStandIn& old_upstream =
      runner.AddUpstream(old_home, "i-7f3a91c2", UpstreamStandIn::MakeSuccess, kWork);
  runner.AddUpstream(new_home, "i-02d9e6b4", UpstreamStandIn::MakeSuccess, kWork);
  runner.AddUpstream(third, "i-5d00e1f7", UpstreamStandIn::MakeSuccess, kWork);
  runner.AddUpstream(fourth, "i-6e11f208", UpstreamStandIn::MakeSuccess, kWork);
  for (const DaemonProcess* daemon : daemons) {
    runner.WaitUntilServed(*daemon, {"/lepu270/1"});
  }
  runner.Sleep(Milliseconds(5000));

  const std::string& address = old_home.store_address;
  const Clock::time_point renewed = runner.GetStore().GetLastRenewal(address);
  while (runner.GetStore().GetLastRenewal(address) == renewed) {
    runner.Sleep(Milliseconds(1));
  }
  runner.Sleep(kAfterRenewal);
  const Clock::time_point begin = Clock::now();
  if (CaseRunner::HasTrouble()) {
    runner.GetRecord().Write("store: leaves the calls of machine-1 without an answer");
    runner.GetStore().SetSilent(address, true);
  }
  runner.Sleep(kChangeAfter);
  runner.GetStore().Put(
      "op/config",
      MakeConfiguration(7, {{"r-look", "/lepu270/", "safe", "kafi81c", "1000ms"}}, services));
  const Clock::time_point acknowledged = Clock::now();
  runner.GetRecord().Write("operator: version 7 moves the route to kafi81c; acknowledged");
  runner.Sleep(kSilence - (Clock::now() - begin < kSilence
                               ? std::chrono::duration_cast<Milliseconds>(Clock::now() - begin)
                               : kSilence));
  runner.GetStore().SetSilent(address, false);
  const Clock::time_point healed = Clock::now();
  runner.GetRecord().Write("store: answers all machines");

  const Clock::time_point bound =
      std::max(acknowledged + kConfigApply + kSkewMax, healed + kStabilityWindow);
  int late = 0;
  int broken = 0;
  while (Clock::now() < acknowledged + kObserved) {
    for (const DaemonProcess* daemon : daemons) {
      const HttpMessage request = runner.MakeClientRequest("GET", "/lepu270/2", kDeadline);
      const std::string id = request.GetHeader("Lacewingbridge-Request-Id");
      const bool is_late = Clock::now() > bound;
      runner.Send(*daemon, request, kDeadline);
      late += is_late ? 1 : 0;
      if (is_late && old_upstream.HasRun(id)) {
        ++broken;
        runner.GetRecord().Write("CONFIG: " + id + " was run by the service of version 4");
      }
    }
    runner.Sleep(kInterval);
  }
  return runner.Conclude(broken > 0, std::to_string(broken) + " of " + std::to_string(late) +
                                         " requests sent after the bound were run by the old "
                                         "service");
}

}  // namespace
}  // namespace lacewingbridge::review

int main(int, char** arguments) { return lacewingbridge::review::RunCase(arguments[1]); }
