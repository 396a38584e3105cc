// Compares choice of target, reserve policies, queue orders and retry rules under
// overload, in injected time against models of targets. Usage: bench_overload [seed]
#include <fmt/core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string_view>
#include <vector>

#include "overload_amplification.h"
#include "overload_figures.h"
#include "overload_simulation.h"

namespace lacewingbridge {
namespace {

template <typename Daemon>
void RunVariant(std::string_view firm, const OverloadScenario& scenario, std::string_view name) {
  OverloadFigures figures = OverloadSimulation<Daemon>(scenario).Run();
  PrintFigures(firm, scenario.load, name, figures);
}

void RunFirm(std::string_view firm, std::uint32_t slots, std::uint64_t seed) {
  for (double load : {0.8, 1.2, 2.0}) {
    const OverloadScenario scenario{slots, load, seed};
    OverloadScenario free_refusals = scenario;
    free_refusals.refusal_work = Duration{0};
    RunVariant<RandomDaemon>(firm, free_refusals, "random, free refusals");
    RunVariant<RandomDaemon>(firm, scenario, "random, unlimited");
    RunVariant<PolicyDaemon<ReserveNone, OrderByDeadline>>(firm, scenario, "none, deadline");
    RunVariant<PolicyDaemon<ReserveByLimits, OrderByDeadline>>(firm, scenario, "limits, deadline");
    RunVariant<PolicyDaemon<ReserveShare, OrderByDeadline>>(firm, scenario, "share, deadline");
    RunVariant<PolicyDaemon<ReserveShare, OrderNewestUnderOverload>>(firm, scenario,
                                                                     "share, newest");
  }
}

// Time of one selection with its two reports on this machine.
void PrintSelectionCost(std::size_t target_count) {
  TargetSelector selector("c1", "carolinas", Duration{0});
  std::vector<TargetEndpoint> targets;
  for (std::size_t i = 0; i < target_count; ++i) {
    targets.push_back({fmt::format("10.0.{}.{}:9000", i / 250, i % 250), fmt::format("host-{}", i),
                       "c1", "carolinas", 9, false, 0});
  }
  selector.UpdateTargets(TimePoint{}, targets);
  std::mt19937_64 random(1);
  constexpr int kSelections = 20000;
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kSelections; ++i) {
    const TimePoint now{std::chrono::microseconds(i)};
    const TargetChoice choice = selector.Select(now, random, {});
    selector.ReportStart(choice.address);
    selector.ReportFinish(now, choice.address, TargetOutcome::kOk, std::chrono::milliseconds(1));
  }
  const std::chrono::duration<double, std::micro> taken = std::chrono::steady_clock::now() - start;
  fmt::print("selection and reports among {:3} targets: {:.2f} us\n", target_count,
             taken.count() / kSelections);
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  fmt::print("seed {}\n", seed);
  lacewingbridge::PrintFiguresHeader();
  lacewingbridge::RunFirm("Pruitt", 9, seed);
  lacewingbridge::RunFirm("Orquesta", 13, seed);
  lacewingbridge::PrintAmplification();
  lacewingbridge::PrintSelectionCost(23);
  lacewingbridge::PrintSelectionCost(900);
  return 0;
}
