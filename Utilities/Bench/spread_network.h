#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_NETWORK_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_NETWORK_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

enum class LinkKind { kLocal, kRegion, kRegionLink };
enum class TrafficKind { kGossip, kRelay, kFetch, kJoin, kStore };

inline constexpr std::size_t kLinkKinds = 3;
inline constexpr std::size_t kTrafficKinds = 5;

// Places of daemons and store: 2 regions with 4 data centres each.
inline constexpr std::size_t kDataCentres = 8;
inline constexpr std::size_t kRegions = 2;

// UDP and IP headers of a datagram.
inline constexpr std::size_t kDatagramHeadBytes = 28;
// Heads of an HTTP request and its answer, as measured on the daemon's peer calls.
inline constexpr std::size_t kRequestHeadBytes = 190;
inline constexpr std::size_t kAnswerHeadBytes = 110;

struct TrafficCounts {
  std::array<std::array<std::uint64_t, kTrafficKinds>, kLinkKinds> bytes{};

  std::uint64_t Sum(LinkKind link) const;
  std::uint64_t SumAll() const;
};
TrafficCounts operator-(const TrafficCounts& later, const TrafficCounts& earlier);

// Events in injected time and links between data centres with latency and cuts.
class SpreadNetwork {
 public:
  TimePoint GetNow() const { return this->now; }
  void Schedule(TimePoint when, std::function<void()> action);
  void RunUntil(TimePoint limit);

  static std::size_t GetRegion(std::size_t data_centre) {
    return data_centre / (kDataCentres / kRegions);
  }
  static LinkKind GetLink(std::size_t from, std::size_t to);
  static Duration GetLatency(std::size_t from, std::size_t to);

  bool IsReachable(std::size_t from, std::size_t to) const;
  void SetRegionsCut(bool value) { this->cut = value; }

  // Counts the bytes and schedules the arrival, unless the link is cut.
  bool Send(std::size_t from, std::size_t to, TrafficKind kind, std::size_t bytes,
            std::function<void()> arrival);

  const TrafficCounts& GetTraffic() const { return this->traffic; }

 private:
  struct Event {
    TimePoint when;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->when != other.when ? this->when > other.when : this->order > other.order;
    }
  };

  TimePoint now;
  std::uint64_t next_order = 0;
  std::priority_queue<Event> events;
  TrafficCounts traffic;
  bool cut = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_NETWORK_H_
