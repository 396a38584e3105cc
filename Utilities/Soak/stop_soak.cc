// Stops, reloads and reconfigures real daemons by a seeded plan, under clients that keep their
// connections and pipeline requests, and checks that no request is lost, run twice or refused
// after it has run. Exit codes: 0 all rules held, 1 a rule was broken, 2 the soak could not run.
#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <memory>
#include <span>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "soak_client.h"
#include "soak_options.h"
#include "soak_verdict.h"
#include "stand_ins/case_runner.h"
#include "stop_plan.h"
#include "stop_player.h"

namespace lacewingbridge::soak {
namespace {

using review::CaseRunner;
using review::Clock;
using review::MachineOptions;
using review::Milliseconds;

constexpr char kServices[][8] = {"looms", "dyes"};
constexpr Milliseconds kRouteTimeout{4000};
// Requests that a daemon has passed on reach their upstream within this time.
constexpr Milliseconds kSettleTime{500};

// A deployment with an upstream beside each daemon.
class SoakFleet {
 public:
  SoakFleet(const std::string& record_path, const SoakOptions& options) : runner(record_path) {
    for (int i = 0; i < options.daemons; ++i) {
      this->machines.push_back(this->runner.MakeMachine(i + 1, kServices[i % 2]));
      this->daemons.push_back(&this->runner.AddDaemon(this->machines.back()));
    }
  }

  void Start() {
    this->SubmitConfiguration();
    this->runner.StartDaemons();
    for (std::size_t i = 0; i < this->machines.size(); ++i) {
      const Milliseconds work(20 + 10 * static_cast<int>(i % 4));
      this->upstreams.push_back(
          &this->runner.AddUpstream(this->machines[i], fmt::format("upstream-{}", i + 1),
                                    review::UpstreamStandIn::MakeSuccess, work));
    }
    for (const review::DaemonProcess* daemon : this->daemons) {
      this->runner.WaitUntilServed(*daemon, {"/looms/start", "/dyes/start"});
    }
  }

  // Each version has a route that no earlier version had.
  void SubmitConfiguration() {
    ++this->version;
    const std::string timeout = fmt::format("{}ms", kRouteTimeout.count());
    std::vector<review::RouteRow> routes;
    for (const std::string service : kServices) {
      routes.push_back({"read-" + service, "/" + service + "/", "safe", service, timeout});
      routes.push_back(
          {"order-" + service, "/" + service + "-orders/", "unsafe", service, timeout});
    }
    routes.push_back({fmt::format("added-{}", this->version), fmt::format("/v{}/", this->version),
                      "safe", kServices[0], timeout});
    this->runner.GetStore().Put(
        "op/config",
        review::MakeConfiguration(this->version, routes, {kServices[0], kServices[1]}));
  }

  RunCounts CountRuns() const {
    RunCounts counts;
    for (const review::UpstreamStandIn* upstream : this->upstreams) {
      for (const review::UpstreamRun& run : upstream->ListRuns()) {
        ++counts[run.request_id];
      }
    }
    return counts;
  }

  CaseRunner& GetRunner() { return this->runner; }
  std::span<review::DaemonProcess* const> GetDaemons() const { return this->daemons; }
  const MachineOptions& GetMachine(std::size_t index) const {
    return this->machines[index % this->machines.size()];
  }

 private:
  CaseRunner runner;
  std::vector<MachineOptions> machines;
  std::vector<review::DaemonProcess*> daemons;
  std::vector<review::UpstreamStandIn*> upstreams;
  int version = 0;
};

std::vector<std::unique_ptr<SoakClient>> MakeClients(SoakFleet& fleet, const SoakOptions& options,
                                                     std::uint64_t seed) {
  std::vector<std::unique_ptr<SoakClient>> clients;
  for (int i = 0; i < options.clients; ++i) {
    ClientHabit habit;
    habit.pipelines = i % 3 != 0;
    habit.safe_prefixes = {"/looms/", "/dyes/"};
    habit.unsafe_prefixes = {"/looms-orders/", "/dyes-orders/"};
    clients.push_back(std::make_unique<SoakClient>(fleet.GetRunner().GetRecord(),
                                                   fleet.GetMachine(static_cast<std::size_t>(i)),
                                                   std::move(habit), i, seed));
  }
  return clients;
}

int RunSeed(const SoakOptions& options, std::uint64_t seed) {
  unsetenv("KEEP_FOLDER");
  const std::string record_path = fmt::format("{}/stop_soak_{}.txt", options.records, seed);
  SoakFleet fleet(record_path, options);
  fleet.Start();
  const auto clients = MakeClients(fleet, options, seed);
  std::vector<std::thread> threads;
  threads.reserve(clients.size());
  const Clock::time_point until = Clock::now() + options.duration;
  for (const auto& client : clients) {
    threads.emplace_back([&client, until] { client->Run(until); });
  }
  StopPlayer player(fleet.GetRunner().GetRecord(), fleet.GetDaemons(),
                    [&fleet] { fleet.SubmitConfiguration(); });
  player.Play(DrawStopPlan(seed, options.duration, fleet.GetDaemons().size()));
  for (std::thread& thread : threads) {
    thread.join();
  }
  fleet.GetRunner().Sleep(kSettleTime);

  SoakVerdict verdict(kRouteTimeout);
  verdict.AddStops(player.GetCounts());
  const RunCounts runs = fleet.CountRuns();
  for (const auto& client : clients) {
    verdict.Judge(client->GetRequests(), runs, fleet.GetRunner().GetRecord());
  }
  const std::string line = verdict.Format(seed);
  fleet.GetRunner().GetRecord().Write(line);
  fmt::print("{}\n", line);
  std::fflush(stdout);
  if (verdict.IsBroken()) {
    // The logs of the daemons stay with the record.
    setenv("KEEP_FOLDER", "1", 1);
    fmt::print("the record is {}\n", record_path);
    return review::kRuleBroken;
  }
  if (!verdict.HasSuccess()) {
    fmt::print(stderr, "no request succeeded\n");
    return review::kCannotRun;
  }
  std::filesystem::remove(record_path);
  return review::kRuleHeld;
}

int RunSoak(const SoakOptions& options) {
  bool broken = false;
  for (int i = 0; i < options.seeds; ++i) {
    const int code = RunSeed(options, options.seed + static_cast<std::uint64_t>(i));
    if (code == review::kCannotRun) {
      return code;
    }
    broken = broken || code == review::kRuleBroken;
  }
  return broken ? review::kRuleBroken : review::kRuleHeld;
}

}  // namespace
}  // namespace lacewingbridge::soak

int main(int argument_count, char** arguments) {
  const auto options = lacewingbridge::soak::SoakOptions::Parse(argument_count, arguments);
  return options ? lacewingbridge::soak::RunSoak(*options) : lacewingbridge::review::kCannotRun;
}
