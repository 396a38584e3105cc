#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_

#include <cstdint>

#include "Core/time_point.h"
#include "Routing/target_endpoint.h"

namespace lacewingbridge {

// What this daemon has seen of one target.
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

  // Slots that the target is assumed to have: the announced ones, fewer for a while
  // after it shed a request, never below 1.
  std::uint32_t GetAssumedSlots(TimePoint now) const;

  // Share of the full weight of a target that is still warming up, 0.1 to 1.
  double GetWarmShare(TimePoint now, Duration cold_start) const;

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
  // Assumed slots at the time of the last reduction.
  std::uint32_t reduced_slots = 0;
  TimePoint reduced_at;
  bool reduced = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_TARGET_STATS_H_
