#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_

#include <cstdint>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

// Statistics of one target, from the requests that this daemon has sent to it. Not thread-safe.
class TargetStats {
 public:
  TargetStats(TimePoint seen_at, std::uint32_t announced_slots);

  void SetSlots(std::uint32_t announced_slots);
  void RecordStart();
  void RecordFinish(TimePoint now, TargetOutcome outcome, Duration latency);

  std::uint32_t GetInFlight() const { return this->in_flight; }
  std::uint32_t GetConsecutiveFailures() const { return this->consecutive_failures; }
  Duration GetLatency() const { return this->latency; }
  std::uint64_t GetRequests() const { return this->requests; }
  std::uint64_t GetFailures() const { return this->failures; }
  std::uint64_t GetShed() const { return this->shed; }

  // Returns the number of slots that the target is assumed to have: the announced number, or fewer
  // for a time after the target has shed a request, but at least 1.
  std::uint32_t GetAssumedSlots(TimePoint now) const;

  // Returns the factor for the weight of a target that is warming up, from 0.1 at first sight to 1
  // after the cold start.
  double GetWarmUpFactor(TimePoint now, Duration cold_start) const;

 private:
  void RecordShed(TimePoint now);

  TimePoint first_seen;
  std::uint32_t slots;
  std::uint32_t in_flight = 0;
  std::uint32_t consecutive_failures = 0;
  Duration latency{0};
  std::uint64_t requests = 0;
  std::uint64_t failures = 0;
  std::uint64_t shed = 0;
  // Assumed slots immediately after the last reduction.
  std::uint32_t reduced_slots = 0;
  TimePoint reduced_at;
  bool reduced = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_
