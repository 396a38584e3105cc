// Control bytes of the daemons of a fleet over some seconds, from their metrics; with
// changes, what each change adds to the bytes at rest.
#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "fleet_access.h"
#include "synthetic_rules.h"

namespace lacewingbridge {
namespace {

constexpr const char* kNames[] = {"gossip_bytes_sent", "gossip_bytes_received",
                                  "peer_bytes_received"};
constexpr std::size_t kRoutes = 300;

using Snapshot = std::vector<std::map<std::string, double>>;

Snapshot ReadAll(const std::vector<std::string>& addresses) {
  Snapshot result;
  for (const std::string& address : addresses) {
    result.push_back(ReadMetrics(address));
  }
  return result;
}

// Prints bytes per second and returns the fleet's sum of all names for each second.
double PrintRates(const Snapshot& before, Snapshot& after, double time) {
  double all = 0;
  for (const char* name : kNames) {
    double sum = 0;
    double most = 0;
    for (std::size_t i = 0; i < before.size(); ++i) {
      const auto known = before[i].find(name);
      const double bytes = after[i][name] - (known == before[i].end() ? 0 : known->second);
      sum += bytes / time;
      most = std::max(most, bytes / time);
    }
    all += sum;
    fmt::print("  {}: mean {:.0f}, most {:.0f} bytes/s\n", name,
               sum / static_cast<double>(before.size()), most);
  }
  return all;
}

int Run(const std::vector<std::string>& addresses, int time, int changes) {
  Snapshot before = ReadAll(addresses);
  std::this_thread::sleep_for(std::chrono::seconds(time));
  Snapshot after = ReadAll(addresses);
  fmt::print("daemons {} at rest, {} s\n", addresses.size(), time);
  const double rest = PrintRates(before, after, time);
  if (changes == 0) {
    return 0;
  }
  before = ReadAll(addresses);
  for (int i = 0; i < changes; ++i) {
    const auto number = static_cast<std::uint64_t>(ReadMetrics(addresses[0])["rules_version"]);
    const std::string text = MakeSyntheticRules(kRoutes) + fmt::format("# traffic {}\n", number);
    SubmitRules(addresses[0], text, number);
    std::this_thread::sleep_for(std::chrono::milliseconds(1000 * time / changes));
  }
  after = ReadAll(addresses);
  fmt::print("daemons {} with {} changes in {} s\n", addresses.size(), changes, time);
  const double busy = PrintRates(before, after, time);
  fmt::print("  each change adds {:.0f} bytes to a daemon's sum\n",
             (busy - rest) * time / changes / static_cast<double>(addresses.size()));
  return 0;
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  if (argc < 3) {
    fmt::print(stderr, "usage: {} CONTROL[,CONTROL...] SECONDS [CHANGES]\n", argv[0]);
    return 2;
  }
  return lacewingbridge::Run(lacewingbridge::SplitAddresses(argv[1]), std::atoi(argv[2]),
                             argc > 3 ? std::atoi(argv[3]) : 0);
}
