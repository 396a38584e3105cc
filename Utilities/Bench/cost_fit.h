#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_COST_FIT_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_COST_FIT_H_

#include <fmt/core.h>

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "processor_clock.h"

namespace lacewingbridge {

// Processor time of one call in microseconds: the median of 5 rounds, each long enough
// for the resolution of the clock.
template <typename Action>
double MeasureMicroseconds(Action&& action) {
  constexpr int kRounds = 5;
  constexpr double kRoundNanoseconds = 20e6;
  constexpr double kNanosecondsPerMicrosecond = 1000;
  action();
  std::vector<double> rounds;
  for (int round = 0; round < kRounds; ++round) {
    const double start = GetProcessorNanoseconds();
    double passed = 0;
    double calls = 0;
    while (passed < kRoundNanoseconds) {
      action();
      ++calls;
      passed = GetProcessorNanoseconds() - start;
    }
    rounds.push_back(passed / calls / kNanosecondsPerMicrosecond);
  }
  std::ranges::sort(rounds);
  return rounds[kRounds / 2];
}

// Figures against a size, and the line through them by least squares.
class CostSlope {
 public:
  CostSlope(std::string_view figure_label, std::string_view size_label)
      : label(figure_label), size_name(size_label) {}

  void Add(double size, double figure) { this->points.emplace_back(size, figure); }

  void Print() const {
    fmt::print("{}\n ", this->label);
    for (const auto& [size, figure] : this->points) {
      fmt::print(" {:.0f}: {:.4g}", size, figure);
    }
    const auto [base, slope] = this->Fit();
    fmt::print("\n  fit: {:.4g} + {:.4g} per {}\n", base, slope, this->size_name);
  }

 private:
  std::pair<double, double> Fit() const {
    const auto count = static_cast<double>(this->points.size());
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& [x, y] : this->points) {
      sum_x += x;
      sum_y += y;
      sum_xx += x * x;
      sum_xy += x * y;
    }
    const double slope = (count * sum_xy - sum_x * sum_y) / (count * sum_xx - sum_x * sum_x);
    return {(sum_y - slope * sum_x) / count, slope};
  }

  std::string_view label;
  std::string_view size_name;
  std::vector<std::pair<double, double>> points;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_COST_FIT_H_
