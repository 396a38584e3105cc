#include "overload_figures.h"

#include <fmt/core.h>

#include <algorithm>
#include <cstddef>
#include <numeric>

namespace lacewingbridge {

namespace {

double GetPercentileMs(std::vector<Duration>& values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto rank = static_cast<std::size_t>(static_cast<double>(values.size() - 1) * share);
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(rank),
                   values.end());
  return static_cast<double>(values[rank].count()) / 1000;
}

double GetPercent(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

}  // namespace

void PrintFiguresHeader() {
  fmt::print("{:9}{:>5}  {:23}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}\n", "firm", "load",
             "variant", "goodput", "int ok", "norm ok", "low ok", "int p99", "norm p99", "refused",
             "attempts");
  fmt::print("{:9}{:>5}  {:23}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>10}\n", "", "", "", "% cap",
             "%", "%", "%", "ms", "ms", "%", "/request");
}

void PrintFigures(std::string_view firm, double load, std::string_view name,
                  OverloadFigures& figures) {
  const auto sum = [](const auto& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
  };
  const std::uint64_t offered = sum(figures.offered);
  const double goodput = static_cast<double>(sum(figures.in_time)) / figures.measured_seconds;
  fmt::print(
      "{:9}{:>5.1f}  {:23}{:>8.1f}{:>9.2f}{:>9.2f}{:>9.2f}{:>9.1f}{:>9.1f}{:>9.2f}{:>10.2f}\n",
      firm, load, name, 100 * goodput / figures.capacity_per_second,
      GetPercent(figures.in_time[0], figures.offered[0]),
      GetPercent(figures.in_time[1], figures.offered[1]),
      GetPercent(figures.in_time[2], figures.offered[2]),
      GetPercentileMs(figures.latencies[0], 0.99), GetPercentileMs(figures.latencies[1], 0.99),
      GetPercent(sum(figures.refused), offered),
      static_cast<double>(figures.attempts) /
          static_cast<double>(std::max<std::uint64_t>(offered, 1)));
}

}  // namespace lacewingbridge
