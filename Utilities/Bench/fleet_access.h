#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_FLEET_ACCESS_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_FLEET_ACCESS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace lacewingbridge {

std::vector<std::string> SplitAddresses(std::string_view text);

// Values of GET /metrics by name, without the prefix and summed over the labels.
std::map<std::string, double> ReadMetrics(const std::string& address);

// Submits the text at the daemon; the accepted number, or 0.
std::uint64_t SubmitRules(const std::string& address, const std::string& text,
                          std::uint64_t base_number);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_FLEET_ACCESS_H_
