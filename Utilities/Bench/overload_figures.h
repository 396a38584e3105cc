#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_FIGURES_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_FIGURES_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <vector>

#include "Admission/admission_types.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// Counts of one simulated run after its warm-up.
struct OverloadFigures {
  std::array<std::uint64_t, kPriorityCount> offered{};
  std::array<std::uint64_t, kPriorityCount> in_time{};
  std::array<std::uint64_t, kPriorityCount> refused{};
  std::array<std::uint64_t, kPriorityCount> late{};
  std::array<std::vector<Duration>, kPriorityCount> latencies;
  std::uint64_t attempts = 0;
  double measured_seconds = 0;
  double capacity_per_second = 0;
};

void PrintFiguresHeader();
void PrintFigures(std::string_view firm, double load, std::string_view name,
                  OverloadFigures& figures);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_FIGURES_H_
