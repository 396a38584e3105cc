#include "Routing/hop_placement.h"

#include <algorithm>
#include <cmath>

#include "Admission/link_schedule.h"
#include "Admission/work_pace.h"
#include "Core/duration_scale.h"

namespace lacewingbridge {

namespace {

Duration FromMilliseconds(std::uint32_t milliseconds) {
  return std::chrono::milliseconds(milliseconds);
}

// Estimates the fraction of requests that take longer than the time left. The service time is
// assumed to have a log-logistic distribution: one request in two takes longer than the mean, one
// in nine longer than 1.5 times the mean, and one in thirty longer than twice the mean.
double EstimateLateFraction(Duration time_left, Duration mean) {
  constexpr double kShape = 5;
  if (time_left <= Duration{0}) {
    return 1;
  }
  const double ratio = static_cast<double>(time_left.count()) /
                       static_cast<double>(std::max(mean, Duration{1}).count());
  return 1 / (1 + std::pow(ratio, kShape));
}

}  // namespace

HopPlacement::Distance HopPlacement::GetDistance(const HostRecord& record) const {
  if (record.host == this->host) {
    return Distance::kSameHost;
  }
  if (record.data_centre == this->data_centre) {
    return Distance::kSameDataCentre;
  }
  return record.region == this->region ? Distance::kSameRegion : Distance::kOtherRegion;
}

void HopPlacement::UpdateHosts(std::span<const HostRecord> hosts) {
  std::vector<Candidate> updated;
  this->class_means.Clear();
  for (const HostRecord& record : hosts) {
    Candidate candidate;
    if (const Candidate* known = this->Find(record.peer_address); known != nullptr) {
      candidate = *known;
    }
    if (candidate.target_id != record.target->id) {
      candidate.has_report = false;
      candidate.class_times = ClassTimes();
      candidate.slowness = 1;
      candidate.failures = 0;
      candidate.backoff_until = TimePoint();
    }
    candidate.peer_address = record.peer_address;
    candidate.target_id = record.target->id;
    candidate.slots = record.target->slots;
    candidate.accepting = record.target->accepting;
    candidate.distance = this->GetDistance(record);
    this->class_means.Add(candidate.class_times);
    updated.push_back(std::move(candidate));
  }
  this->candidates = std::move(updated);
}

HopPlacement::Candidate* HopPlacement::Find(std::string_view peer_address) {
  const auto found = std::find_if(
      this->candidates.begin(), this->candidates.end(),
      [peer_address](const Candidate& entry) { return entry.peer_address == peer_address; });
  return found == this->candidates.end() ? nullptr : &*found;
}

void HopPlacement::RecordStart(std::string_view peer_address) {
  if (Candidate* candidate = this->Find(peer_address); candidate != nullptr) {
    ++candidate->in_flight;
  }
}

void HopPlacement::RecordEnd(std::string_view peer_address) {
  Candidate* candidate = this->Find(peer_address);
  if (candidate != nullptr && candidate->in_flight > 0) {
    --candidate->in_flight;
  }
}

void HopPlacement::RecordReport(TimePoint now, std::string_view peer_address,
                                const HopReport& report) {
  Candidate* candidate = this->Find(peer_address);
  if (candidate == nullptr) {
    return;
  }
  candidate->report = report;
  candidate->report_at = now;
  if (report.class_time_ms > 0) {
    this->class_means.Remove(candidate->class_times);
    candidate->class_times.Record(report.work_class, FromMilliseconds(report.class_time_ms));
    this->class_means.Add(candidate->class_times);
    candidate->slowness = this->class_means.ComputeSlowness(candidate->class_times);
  }
  candidate->has_report = true;
  candidate->in_flight_at_report = candidate->in_flight;
  candidate->failures = 0;
  candidate->backoff_until = TimePoint();
}

void HopPlacement::RecordFailure(TimePoint now, std::string_view peer_address) {
  Candidate* candidate = this->Find(peer_address);
  if (candidate == nullptr) {
    return;
  }
  const Duration backoff = kInitialBackoff * (1U << std::min(candidate->failures, 8U));
  candidate->backoff_until = now + std::min(backoff, kMaxBackoff);
  ++candidate->failures;
}

HopPlacement::Typical HopPlacement::ComputeTypical(TimePoint now, std::uint32_t work_class) const {
  Duration sum{0};
  std::int64_t count = 0;
  for (const Candidate& candidate : this->candidates) {
    if (candidate.has_report && candidate.report.service_time_ms > 0) {
      sum += FromMilliseconds(candidate.report.service_time_ms);
      ++count;
    }
  }
  Typical typical;
  typical.all = count == 0 ? kInitialServiceTime : sum / count;
  typical.of_class = this->class_means.Find(work_class).value_or(typical.all);
  typical.utilization = this->ComputeTypicalUtilization(now);
  return typical;
}

std::array<double, 4> HopPlacement::ComputeTypicalUtilization(TimePoint now) const {
  std::array<double, 4> sums{};
  std::array<std::size_t, 4> counts{};
  double total = 0;
  std::size_t fresh = 0;
  for (const Candidate& candidate : this->candidates) {
    if (IsFresh(now, candidate)) {
      const double utilization = CountUtilization(now, candidate);
      sums[static_cast<std::size_t>(candidate.distance)] += utilization;
      ++counts[static_cast<std::size_t>(candidate.distance)];
      total += utilization;
      ++fresh;
    }
  }
  const double mean = fresh == 0 ? 0 : total / static_cast<double>(fresh);
  for (std::size_t i = 0; i < sums.size(); ++i) {
    sums[i] = counts[i] == 0 ? mean : sums[i] / static_cast<double>(counts[i]);
  }
  return sums;
}

double HopPlacement::CountUtilization(TimePoint now, const Candidate& candidate) {
  return std::min(static_cast<double>(CountOccupied(now, candidate)) / CountSlots(now, candidate),
                  1.0);
}

double HopPlacement::EstimateUtilization(TimePoint now, const Candidate& candidate,
                                         const Typical& typical) {
  const double counted = CountUtilization(now, candidate);
  if (IsFresh(now, candidate) || candidate.distance <= Distance::kSameDataCentre) {
    return counted;
  }
  return std::max(counted, typical.utilization[static_cast<std::size_t>(candidate.distance)]);
}

double HopPlacement::EstimatePace(TimePoint now, const Candidate& candidate) {
  if (!candidate.has_report || candidate.report.work_percent == 0) {
    return 1;
  }
  return WorkPace::Age(candidate.report.work_percent / 100.0, now - candidate.report_at,
                       FromMilliseconds(candidate.report.work_lifetime_ms));
}

Duration HopPlacement::EstimateRunTime(TimePoint now, const Candidate& candidate,
                                       std::uint32_t work_class, const Typical& typical) {
  const std::optional<Duration> reported = candidate.class_times.Find(work_class);
  const Duration time =
      reported.value_or(Scale(typical.of_class, GetSlowness(candidate, typical.all)));
  return Scale(time, EstimatePace(now, candidate));
}

Duration HopPlacement::GetServiceTime(const Candidate& candidate, Duration typical) {
  return candidate.has_report && candidate.report.service_time_ms > 0
             ? FromMilliseconds(candidate.report.service_time_ms)
             : typical;
}

double HopPlacement::GetSlowness(const Candidate& candidate, Duration typical) {
  if (!candidate.class_times.GetAll().empty()) {
    return candidate.slowness;
  }
  return static_cast<double>(std::max(GetServiceTime(candidate, typical), Duration{1}).count()) /
         static_cast<double>(std::max(typical, Duration{1}).count());
}

std::int64_t HopPlacement::CountOccupied(TimePoint now, const Candidate& candidate) {
  if (!IsFresh(now, candidate)) {
    return candidate.in_flight;
  }
  const std::int64_t since = static_cast<std::int64_t>(candidate.in_flight) -
                             static_cast<std::int64_t>(candidate.in_flight_at_report);
  return std::max<std::int64_t>(candidate.in_flight,
                                static_cast<std::int64_t>(candidate.report.running) +
                                    static_cast<std::int64_t>(candidate.report.waiting) + since);
}

std::uint32_t HopPlacement::CountSlots(TimePoint now, const Candidate& candidate) {
  return std::max(IsFresh(now, candidate) ? candidate.report.slots : candidate.slots, 1U);
}

Duration HopPlacement::EstimateWait(TimePoint now, const Candidate& candidate,
                                    Duration service_time) const {
  const std::uint32_t slots = CountSlots(now, candidate);
  const std::int64_t excess = std::max<std::int64_t>(CountOccupied(now, candidate) - slots + 1, 0);
  Duration wait = Scale(service_time, EstimatePace(now, candidate)) * excess / slots;
  if (IsFresh(now, candidate)) {
    const Duration reported_wait =
        FromMilliseconds(candidate.report.expected_wait_ms) - (now - candidate.report_at);
    wait = std::max(wait, reported_wait);
  }
  return wait;
}

Duration HopPlacement::EstimateLinkTime(TimePoint now, const HopRequirements& requirements,
                                        const Candidate& candidate, Duration ready) {
  const double rate = static_cast<double>(candidate.report.link_bytes_per_second);
  if (!candidate.has_report || rate <= 0 ||
      requirements.response_bytes <= static_cast<double>(LinkSchedule::kMaxShortBytes)) {
    return Duration{0};
  }
  const Duration reported_wait =
      FromMilliseconds(candidate.report.link_wait_ms) - (now - candidate.report_at);
  const auto transfer = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(requirements.response_bytes / rate));
  return std::max(reported_wait - ready, Duration{0}) + transfer;
}

Duration HopPlacement::ComputeCost(TimePoint now, const HopRequirements& requirements,
                                   std::size_t position, const RandomValues& random_values) const {
  const Candidate& candidate = this->candidates[position];
  const double jitter = random_values.candidates[position].jitter;
  const auto distance = static_cast<std::size_t>(candidate.distance);
  const Duration service_time =
      EstimateRunTime(now, candidate, requirements.work_class, random_values.typical);
  const Duration turnover_time = GetServiceTime(candidate, random_values.typical.all);
  Duration wait =
      Scale(this->EstimateWait(now, candidate, turnover_time), jitter) + kRoundTrips[distance];
  wait += EstimateLinkTime(now, requirements, candidate, wait + service_time);
  const double late_fraction =
      EstimateLateFraction(requirements.objective_left - wait, service_time);
  const double kilobytes = requirements.response_bytes / 1024 + kHeaderKilobytes;
  const bool failing = candidate.has_report && candidate.report.failing &&
                       now - candidate.report_at < kFailingLifetime;
  if (random_values.trial && !candidate.has_report && candidate.in_flight == 0 &&
      kilobytes <= kMaxTrialKilobytes) {
    return kRoundTrips[distance];
  }
  const double utilization = EstimateUtilization(now, candidate, random_values.typical);
  return wait +
         Scale(service_time,
               jitter + kLoadPenalty * utilization * utilization * utilization * utilization) +
         Scale(requirements.time_left,
               kLatePenalty * (late_fraction + kCostPerKilobyte[distance] * kilobytes) +
                   (failing ? kFailingPenalty : 0));
}

bool HopPlacement::IsEligible(TimePoint now, const Candidate& candidate,
                              std::span<const std::string> excluded) {
  const bool refusing = IsFresh(now, candidate) && !candidate.report.accepting;
  return candidate.accepting && !refusing && now >= candidate.backoff_until &&
         std::find(excluded.begin(), excluded.end(), candidate.peer_address) == excluded.end();
}

std::vector<std::size_t> HopPlacement::SampleCandidates(TimePoint now,
                                                        std::span<const std::string> excluded,
                                                        const RandomValues& random_values) const {
  struct Ranked {
    double rank = 0;
    std::size_t position = 0;
  };
  std::vector<std::size_t> sample;
  std::vector<Ranked> others;
  for (std::size_t i = 0; i < this->candidates.size(); ++i) {
    const Candidate& candidate = this->candidates[i];
    if (!IsEligible(now, candidate, excluded)) {
      continue;
    }
    if (random_values.trial || IsFresh(now, candidate)) {
      sample.push_back(i);
      continue;
    }
    const double slowness = GetSlowness(candidate, random_values.typical.all);
    others.push_back({random_values.candidates[i].rank * slowness / CountSlots(now, candidate), i});
  }
  std::sort(others.begin(), others.end(),
            [](const Ranked& left, const Ranked& right) { return left.rank < right.rank; });
  std::size_t in_data_centre = 0;
  std::size_t in_region = 0;
  std::size_t anywhere = 0;
  for (const Ranked& other : others) {
    const Distance distance = this->candidates[other.position].distance;
    const bool taken =
        anywhere < kSampledAnywhere ||
        (distance <= Distance::kSameRegion && in_region < kSampledInRegion) ||
        (distance <= Distance::kSameDataCentre && in_data_centre < kSampledInDataCentre);
    if (taken) {
      sample.push_back(other.position);
    }
    ++anywhere;
    in_region += distance <= Distance::kSameRegion ? 1 : 0;
    in_data_centre += distance <= Distance::kSameDataCentre ? 1 : 0;
  }
  return sample;
}

std::optional<HopChoice> HopPlacement::ChooseFor(TimePoint now, const HopRequirements& requirements,
                                                 std::span<const std::string> excluded,
                                                 const RandomValues& random_values) const {
  const Candidate* best = nullptr;
  Duration best_cost{0};
  std::vector<std::string> closed = this->share_refusals.FindPeers(now, requirements.work);
  if (!closed.empty()) {
    closed.insert(closed.end(), excluded.begin(), excluded.end());
  }
  const std::vector<std::size_t> sample =
      this->SampleCandidates(now, closed.empty() ? excluded : closed, random_values);
  for (const std::size_t position : sample) {
    const Duration cost = this->ComputeCost(now, requirements, position, random_values);
    if (best == nullptr || cost < best_cost) {
      best = &this->candidates[position];
      best_cost = cost;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  HopChoice choice{best->peer_address, best->target_id, std::nullopt, Duration{0},
                   excluded.empty() && sample.size() > kMinAlternatives};
  if (best->has_report) {
    choice.report_age = now - best->report_at;
  }
  choice.expected_wait =
      this->EstimateWait(now, *best, GetServiceTime(*best, random_values.typical.all));
  return choice;
}

bool HopPlacement::IsBeyondShare(TimePoint now, const WorkspaceWork& work,
                                 std::span<const std::string> excluded) const {
  return std::any_of(
      this->candidates.begin(), this->candidates.end(), [&](const Candidate& candidate) {
        return IsEligible(now, candidate, excluded) &&
               this->share_refusals.GetWait(now, work, candidate.peer_address) > Duration{0};
      });
}

std::optional<Duration> HopPlacement::EstimateMinWait(TimePoint now,
                                                      const WorkspaceWork& work) const {
  std::optional<Duration> least;
  const Duration typical = this->ComputeTypical(now, 0).all;
  for (const Candidate& candidate : this->candidates) {
    if (!candidate.accepting) {
      continue;
    }
    const Duration backoff = std::max(candidate.backoff_until - now, Duration{0});
    const Duration service_time = GetServiceTime(candidate, typical);
    const Duration wait =
        std::max({this->EstimateWait(now, candidate, service_time), backoff,
                  this->share_refusals.GetWait(now, work, candidate.peer_address)});
    if (!least.has_value() || wait < *least) {
      least = wait;
    }
  }
  return least;
}

}  // namespace lacewingbridge
