// Spread of versions in injected time at several sizes of the fleet, against pushing the
// whole file to every daemon and against every daemon watching the store.
#include <fmt/core.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "rules_codec.h"
#include "spread_fleet.h"

namespace lacewingbridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kChanges = 10;
constexpr int kBurst = 20;
constexpr seconds kJoinTime{60};
constexpr seconds kRestTime{60};
constexpr seconds kChangeGap{10};
constexpr milliseconds kBurstGap{100};
constexpr seconds kCutTime{60};
// Each pair of regions shares this in each direction.
constexpr double kLinkBytesPerMs = 4e9 / 8 / 1000;
constexpr double kRegionLatencyMs = 8;
// The share of the store's reads that one change may take.
constexpr double kStoreReadsPerMs = 2;
constexpr double kWatchPeriodSeconds = 30;

double ToMs(Duration duration) { return static_cast<double>(duration.count()) / 1000; }
double ToSeconds(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

class SpreadMeter {
 public:
  SpreadMeter(std::size_t fleet_size, const std::string& profile, std::uint64_t seed)
      : size(fleet_size),
        name(profile),
        store(this->network),
        fleet(this->network, this->store, fleet_size, profile, seed) {}

  void Run() {
    fmt::print("profile {} daemons {} file {} bytes head {} bytes\n", this->name, this->size,
               this->store.GetText(1).size(), Encode(this->store.GetHead(1)).size());
    this->MeasureRestart();
    this->MeasureRest();
    this->MeasureChanges();
    this->MeasureBurst();
    this->MeasureCut();
    this->MeasureStoreAway();
  }

 private:
  TimePoint Now() const { return this->network.GetNow(); }
  void Advance(Duration time) { this->network.RunUntil(this->Now() + time); }

  void MeasureRestart() {
    const TimePoint started = this->Now();
    this->Advance(kJoinTime);
    const auto held = this->fleet.GetConvergence(1, std::nullopt);
    const auto total = static_cast<double>(this->size);
    fmt::print("  restart: all hold the version after {:.2f} s, ready {}, members known {}\n",
               held.has_value() ? ToSeconds(*held - started) : -1, this->fleet.CountReady(),
               this->fleet.CountKnownMembers());
    fmt::print(
        "  restart: store calls {} peak {} /s; every daemon watching (computed): {} calls"
        " peak {} /s\n",
        this->store.GetCallCount(), this->store.GetPeak(started, this->Now()), total * 3,
        total * 3);
    const TrafficCounts& traffic = this->network.GetTraffic();
    fmt::print("  restart: region link {} bytes, {:.0f} bytes sent by a daemon\n",
               traffic.Sum(LinkKind::kRegionLink), static_cast<double>(traffic.SumAll()) / total);
  }

  void MeasureRest() {
    const TrafficCounts before = this->network.GetTraffic();
    const Duration processor = this->fleet.GetProcessorTime();
    const std::uint64_t calls = this->store.GetCallCount();
    const TimePoint started = this->Now();
    this->Advance(kRestTime);
    const double time = ToSeconds(kRestTime);
    const TrafficCounts traffic = this->network.GetTraffic() - before;
    const auto total = static_cast<double>(this->size);
    this->rest_link_rate = static_cast<double>(traffic.Sum(LinkKind::kRegionLink)) / time;
    this->rest_rate = static_cast<double>(traffic.SumAll()) / time;
    fmt::print(
        "  rest: store calls {:.2f} /s peak {}; every daemon watching (computed): {:.2f}"
        " /s and {} pending\n",
        static_cast<double>(this->store.GetCallCount() - calls) / time,
        this->store.GetPeak(started, this->Now()), total / kWatchPeriodSeconds, total);
    fmt::print("  rest: {:.0f} bytes/s sent by a daemon, region link {:.0f} bytes/s\n",
               this->rest_rate / total, this->rest_link_rate);
    for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
      static constexpr const char* kNames[] = {"gossip", "relay", "fetch", "join", "store"};
      fmt::print("    {}: local {:.0f}, between data centres {:.0f}, region link {:.0f} bytes/s\n",
                 kNames[kind], static_cast<double>(traffic.bytes[0][kind]) / time,
                 static_cast<double>(traffic.bytes[1][kind]) / time,
                 static_cast<double>(traffic.bytes[2][kind]) / time);
    }
    fmt::print("  rest: processor time of a daemon's gossip {:.1f} us/s = {:.4f} % of a core\n",
               ToSeconds(this->fleet.GetProcessorTime() - processor) / time / total * 1e6,
               ToSeconds(this->fleet.GetProcessorTime() - processor) / time / total * 100);
  }

  void MeasureChanges() {
    std::vector<double> times;
    const TrafficCounts before = this->network.GetTraffic();
    for (int i = 0; i < kChanges; ++i) {
      const TimePoint accepted = this->Now();
      this->store.AcceptChange();
      this->Advance(kChangeGap);
      const auto held = this->fleet.GetConvergence(this->store.GetNumber(), std::nullopt);
      times.push_back(held.has_value() ? ToMs(*held - accepted) : -1);
    }
    std::ranges::sort(times);
    this->PrintTraffic("change", before, kChanges * kChangeGap, kChanges,
                       fmt::format("median {:.0f} ms worst {:.0f} ms", times[kChanges / 2],
                                   times.front() < 0 ? -1 : times.back()));
    this->PrintBaselines(1);
  }

  void MeasureBurst() {
    const TrafficCounts before = this->network.GetTraffic();
    const TimePoint started = this->Now();
    TimePoint accepted;
    for (int i = 0; i < kBurst; ++i) {
      accepted = this->Now();
      this->store.AcceptChange();
      this->Advance(kBurstGap);
    }
    this->Advance(kChangeGap);
    const auto held = this->fleet.GetConvergence(this->store.GetNumber(), std::nullopt);
    this->PrintTraffic(
        "burst", before, this->Now() - started, 1,
        fmt::format("last change {:.0f} ms", held.has_value() ? ToMs(*held - accepted) : -1));
    this->PrintBaselines(kBurst);
  }

  void MeasureCut() {
    const TrafficCounts before = this->network.GetTraffic();
    const TimePoint started = this->Now();
    this->network.SetRegionsCut(true);
    this->Advance(seconds(5));
    const TimePoint accepted = this->Now();
    this->store.AcceptChange();
    this->Advance(kCutTime - seconds(5));
    const auto near = this->fleet.GetConvergence(this->store.GetNumber(), 0);
    this->network.SetRegionsCut(false);
    const TimePoint healed = this->Now();
    this->Advance(kCutTime);
    const auto all = this->fleet.GetConvergence(this->store.GetNumber(), std::nullopt);
    this->PrintTraffic("cut of 60 s", before, this->Now() - started, 1,
                       fmt::format("own region {:.0f} ms, all {:.0f} ms after the heal",
                                   near.has_value() ? ToMs(*near - accepted) : -1,
                                   all.has_value() ? ToMs(*all - healed) : -1));
  }

  // Each change is known to one daemon only, as if the store failed after it.
  void MeasureStoreAway() {
    this->store.SetDown(true);
    this->Advance(kChangeGap);
    std::vector<double> times;
    const TrafficCounts before = this->network.GetTraffic();
    for (int i = 0; i < kChanges; ++i) {
      const TimePoint accepted = this->Now();
      this->store.AcceptChange();
      this->fleet.HoldNewest(static_cast<std::size_t>(i) % this->size);
      this->Advance(2 * kChangeGap);
      const auto held = this->fleet.GetConvergence(this->store.GetNumber(), std::nullopt);
      times.push_back(held.has_value() ? ToMs(*held - accepted) : -1);
    }
    std::ranges::sort(times);
    this->PrintTraffic("change without store", before, 2 * kChanges * kChangeGap, kChanges,
                       fmt::format("median {:.0f} ms worst {:.0f} ms", times[kChanges / 2],
                                   times.front() < 0 ? -1 : times.back()));
  }

  void PrintTraffic(const char* label, const TrafficCounts& before, Duration time, int count,
                    const std::string& convergence) {
    const TrafficCounts traffic = this->network.GetTraffic() - before;
    const double spent = ToSeconds(time);
    const double link = static_cast<double>(traffic.Sum(LinkKind::kRegionLink));
    const double all = static_cast<double>(traffic.SumAll());
    fmt::print(
        "  {}: {}; each: region link {:.0f} bytes ({:.0f} above rest), {:.0f} bytes of a"
        " daemon above rest\n",
        label, convergence, link / count, (link - this->rest_link_rate * spent) / count,
        (all - this->rest_rate * spent) / count / static_cast<double>(this->size));
  }

  // Closed form: the link carries the bytes one after the other, and the store serves
  // its reads one after the other.
  void PrintBaselines(int changes) const {
    const double remote = static_cast<double>(this->size) / 2;
    const std::size_t number = this->store.GetNumber();
    const double file = remote * static_cast<double>(this->store.GetText(number).size() +
                                                     kRequestHeadBytes + kAnswerHeadBytes);
    const double head = remote * static_cast<double>(Encode(this->store.GetHead(number)).size() +
                                                     kRequestHeadBytes + kAnswerHeadBytes);
    fmt::print("    whole file to every daemon (computed): {:.0f} ms, region link {:.0f} bytes\n",
               kRegionLatencyMs + changes * file / kLinkBytesPerMs, changes * file);
    fmt::print(
        "    every daemon watching (computed): {:.0f} ms, region link {:.0f} bytes, {} store"
        " calls\n",
        kRegionLatencyMs + changes * static_cast<double>(this->size) / kStoreReadsPerMs,
        changes * head, static_cast<std::size_t>(changes) * this->size);
  }

  std::size_t size;
  std::string name;
  SpreadNetwork network;
  SpreadStore store;
  SpreadFleet fleet;
  double rest_link_rate = 0;
  double rest_rate = 0;
};

}  // namespace
}  // namespace lacewingbridge

int main(int argc, char** argv) {
  const std::string profile = argc > 1 ? argv[1] : "convergence";
  const std::uint64_t seed = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 20261204;
  std::vector<std::size_t> sizes = {36, 225, 900};
  if (argc > 3) {
    sizes = {std::strtoull(argv[3], nullptr, 10)};
  }
  // The large sizes take minutes; show each line at once.
  std::setvbuf(stdout, nullptr, _IOLBF, BUFSIZ);
  fmt::print("seed {}\n", seed);
  for (const std::size_t size : sizes) {
    lacewingbridge::SpreadMeter(size, profile, seed).Run();
  }
  return 0;
}
