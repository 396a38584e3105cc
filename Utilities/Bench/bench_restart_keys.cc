// Shows the share of new keyed requests that run in the 10 minutes after a restart of all
// owners, by kind of key, in injected time. Usage: bench_restart_keys [seed]
#include <fmt/core.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Claims/claim_limits.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_table.h"

namespace lacewingbridge {
namespace {

constexpr std::size_t kOwnerCount = 18;
constexpr std::uint64_t kStormUnixMs = 1'800'000'000'000;
constexpr std::uint64_t kMapAgeMs = 3'600'000;
constexpr std::chrono::milliseconds kRequestInterval{10};
constexpr std::chrono::seconds kMinute{60};
constexpr std::chrono::minutes kMeasuredTime{10};

std::uint64_t GetUnixMs(TimePoint now, std::int64_t offset_ms) {
  return kStormUnixMs +
         static_cast<std::uint64_t>(CountMilliseconds(now.time_since_epoch()) + offset_ms);
}

// An owner that restarts within 5 s after the storm began and whose clock is up to half of
// kMaxClockSkew off.
struct Owner {
  ClaimTable table;
  TimePoint started;
  std::int64_t clock_offset_ms;
};

class RestartedFleet {
 public:
  explicit RestartedFleet(std::uint64_t seed) : random(seed) {
    ClaimOwnerMap map{7, {}, {}, kStormUnixMs - kMapAgeMs};
    for (std::size_t i = 0; i < kOwnerCount; ++i) {
      map.hosts.push_back(std::to_string(i));
      map.incarnations.push_back(1);
    }
    this->view.Adopt(std::move(map));
    for (const std::string& host : this->view.GetHosts()) {
      this->owners.push_back(this->StartOwner(host));
    }
  }

  // Sends a new request at that time; returns whether it runs.
  bool Send(TimePoint now, std::string_view key) {
    const auto index = std::strtoull(std::string(this->view.FindOwner(key)).c_str(), nullptr, 10);
    Owner& owner = this->owners[index];
    if (now < owner.started) {
      return false;
    }
    ClaimRequest request;
    request.key = key;
    request.owner_map_epoch = this->view.GetEpoch();
    request.attempt_id = ++this->last_attempt;
    const std::uint64_t unix_ms = GetUnixMs(now, owner.clock_offset_ms);
    return owner.table.Claim(now, unix_ms, request).decision == ClaimDecision::kGranted;
  }

 private:
  Owner StartOwner(const std::string& host) {
    constexpr std::int64_t kClockErrorMs = kMaxClockSkew.count() / 2;
    const TimePoint started{std::chrono::milliseconds(this->Draw(0, 5000))};
    const std::int64_t offset = this->Draw(-kClockErrorMs, kClockErrorMs);
    Owner owner{GetValue(ClaimTable::Create(host, 2, {}, GetUnixMs(started, offset))), started,
                offset};
    owner.table.SetConnected(true);
    owner.table.AdoptMap(started, this->view);
    return owner;
  }
  std::int64_t Draw(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
  }

  std::mt19937_64 random;
  ClaimOwnerView view;
  std::vector<Owner> owners;
  std::uint64_t last_attempt = 0;
};

std::string MakeTimedKey(std::uint64_t unix_ms, std::uint64_t number) {
  return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", unix_ms >> 16U, unix_ms & 0xffffU, number);
}

void PrintShares(std::string_view name, std::uint64_t seed, bool timed,
                 std::int64_t caller_offset_ms) {
  RestartedFleet fleet(seed);
  std::uint64_t number = 0;
  std::uint64_t total_run = 0;
  fmt::print("{:<28}", name);
  TimePoint now{};
  for (TimePoint end = now + kMinute; end <= TimePoint{} + kMeasuredTime; end += kMinute) {
    std::uint64_t run = 0;
    const std::uint64_t first = number;
    for (; now < end; now += kRequestInterval) {
      ++number;
      const std::string key = timed ? MakeTimedKey(GetUnixMs(now, caller_offset_ms), number)
                                    : "order-" + std::to_string(number);
      run += fleet.Send(now, key) ? 1 : 0;
    }
    total_run += run;
    fmt::print(" {:5.1f}", 100.0 * static_cast<double>(run) / static_cast<double>(number - first));
  }
  fmt::print("  {:5.1f}\n", 100.0 * static_cast<double>(total_run) / static_cast<double>(number));
}

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 20261204;
  fmt::print("seed {}\nnew requests that run, % in each minute after the restart, and of all\n",
             seed);
  lacewingbridge::PrintShares("keys without a time", seed, false, 0);
  lacewingbridge::PrintShares("timed keys", seed, true, 0);
  lacewingbridge::PrintShares("timed, callers 30 s behind", seed, true, -30'000);
  lacewingbridge::PrintShares("timed, callers 1.5 s ahead", seed, true, 1'500);
  lacewingbridge::PrintShares("timed, callers 30 s ahead", seed, true, 30'000);
  return 0;
}
