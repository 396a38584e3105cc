#include "Routing/target_stats.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

// The newest latency enters the moving average with a weight of 1/8, so that the average follows a
// change within about 8 responses.
constexpr int kLatencyDivisor = 8;
// Percentage of the assumed slots that remains after a shed request (multiplicative decrease).
constexpr std::uint32_t kDecreasePercent = 70;
// Shed requests within this time are due to the same load and count as one.
constexpr Duration kDecreaseInterval = std::chrono::milliseconds(100);
// The number of assumed slots grows by one after each interval (additive increase).
constexpr Duration kIncreaseInterval = std::chrono::milliseconds(250);
// Factor for the weight of a new target. It is above zero, since a target without requests would
// never warm up.
constexpr double kInitialWarmUpFactor = 0.1;

}  // namespace

TargetStats::TargetStats(TimePoint seen_at, std::uint32_t announced_slots)
    : first_seen(seen_at), slots(std::max(announced_slots, 1U)) {}

void TargetStats::SetSlots(std::uint32_t announced_slots) {
  this->slots = std::max(announced_slots, 1U);
}

void TargetStats::RecordStart() {
  ++this->in_flight;
  ++this->requests;
}

void TargetStats::RecordFinish(TimePoint now, TargetOutcome outcome, Duration attempt_latency) {
  if (this->in_flight == 0) {
    return;
  }
  switch (outcome) {
    case TargetOutcome::kOk:
      this->consecutive_failures = 0;
      // Only successes enter the latency. Failures often return faster than successful responses
      // and would make a broken target appear fast.
      this->latency = this->latency == Duration{0}
                          ? attempt_latency
                          : this->latency + (attempt_latency - this->latency) / kLatencyDivisor;
      break;
    case TargetOutcome::kShed:
      ++this->shed;
      this->RecordShed(now);
      break;
    case TargetOutcome::kFailed:
    case TargetOutcome::kConnectionRefused:
    case TargetOutcome::kLostMidRequest:
      ++this->failures;
      ++this->consecutive_failures;
      break;
  }
  --this->in_flight;
}

void TargetStats::RecordShed(TimePoint now) {
  if (this->reduced && now - this->reduced_at < kDecreaseInterval) {
    return;
  }
  const std::uint32_t base = std::min(this->GetAssumedSlots(now), this->in_flight);
  this->reduced_slots = std::max(base * kDecreasePercent / 100, 1U);
  this->reduced_at = now;
  this->reduced = true;
}

std::uint32_t TargetStats::GetAssumedSlots(TimePoint now) const {
  if (!this->reduced) {
    return this->slots;
  }
  const auto regained = static_cast<std::uint64_t>(
      std::max<Duration::rep>((now - this->reduced_at) / kIncreaseInterval, 0));
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(this->slots, this->reduced_slots + regained));
}

double TargetStats::GetWarmUpFactor(TimePoint now, Duration cold_start) const {
  const Duration age = now - this->first_seen;
  if (age >= cold_start) {
    return 1;
  }
  const std::chrono::duration<double> warm_time = std::max(age, Duration{0});
  const double share = warm_time / cold_start;
  return kInitialWarmUpFactor + (1 - kInitialWarmUpFactor) * share;
}

}  // namespace lacewingbridge
