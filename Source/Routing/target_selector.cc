#include "Routing/target_selector.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

// A reported load up to the threshold leaves the weight unchanged. Above it, the weight falls
// linearly to one half at full load. Reports may be late or wrong, so they never have more effect
// than the counts of this daemon.
constexpr std::uint32_t kReportThresholdPermille = 500;
constexpr std::uint32_t kReportMaxPermille = 1000;

double GetReportedLoadFactor(std::uint32_t permille) {
  const std::uint32_t bounded = std::clamp(permille, kReportThresholdPermille, kReportMaxPermille);
  return 1.0 - static_cast<double>(bounded - kReportThresholdPermille) / kReportMaxPermille;
}

}  // namespace

TargetSelector::TargetSelector(std::string_view local_data_centre, std::string_view local_region,
                               Duration initial_cold_start)
    : data_centre(local_data_centre), region(local_region), cold_start(initial_cold_start) {}

void TargetSelector::UpdateTargets(TimePoint now, std::span<const TargetEndpoint> targets) {
  for (auto& [address, entry] : this->entries) {
    entry.known = false;
  }
  for (const TargetEndpoint& target : targets) {
    auto found = this->entries.find(target.address);
    if (found == this->entries.end()) {
      found = this->entries
                  .emplace(target.address, Entry{target, TargetStats(now, target.slots),
                                                 TargetDistance::kRemote, true})
                  .first;
    }
    Entry& entry = found->second;
    entry.endpoint = target;
    entry.stats.SetSlots(target.slots);
    entry.distance = this->GetDistance(target);
    entry.known = true;
  }
  std::erase_if(this->entries, [](const auto& item) {
    return !item.second.known && item.second.stats.GetInFlight() == 0;
  });
  std::vector<std::string_view> accepting;
  for (const auto& [address, entry] : this->entries) {
    if (entry.known && !entry.endpoint.draining) {
      accepting.push_back(address);
    }
  }
  this->ejector.SetTargets(now, accepting);
}

void TargetSelector::ReportStart(std::string_view address) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) {
    found->second.stats.RecordStart();
  }
}

void TargetSelector::ReportDead(TimePoint now, std::string_view address) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end() && found->second.known && !found->second.endpoint.draining) {
    this->ejector.EjectDead(now, address);
  }
}

bool TargetSelector::ReportFinish(TimePoint now, std::string_view address, TargetOutcome outcome,
                                  Duration latency) {
  const auto found = this->entries.find(address);
  if (found == this->entries.end() || found->second.stats.GetInFlight() == 0) {
    return false;
  }
  TargetStats& stats = found->second.stats;
  stats.RecordFinish(now, outcome, latency);
  if (!found->second.known) {
    if (stats.GetInFlight() == 0) {
      this->entries.erase(found);
    }
    return false;
  }
  if (outcome == TargetOutcome::kOk) {
    this->ejector.RecordSuccess(now, address);
    return false;
  }
  if (outcome == TargetOutcome::kShed || found->second.endpoint.draining) {
    return false;
  }
  return this->ejector.RecordFailure(now, address, stats.GetConsecutiveFailures());
}

std::uint32_t TargetSelector::CountUsableSlots(TimePoint now) const {
  std::uint32_t total = 0;
  for (const auto& [address, entry] : this->entries) {
    if (entry.known && !entry.endpoint.draining && !this->ejector.IsEjected(now, address)) {
      total += this->GetUsableSlots(now, entry);
    }
  }
  return total;
}

Duration TargetSelector::GetLatency(std::string_view address) const {
  const auto found = this->entries.find(address);
  return found == this->entries.end() ? Duration{0} : found->second.stats.GetLatency();
}

std::vector<TargetDump> TargetSelector::DumpTargets(TimePoint now) const {
  std::vector<TargetDump> dumps;
  for (const auto& [address, entry] : this->entries) {
    TargetDump dump;
    dump.address = address;
    dump.host = entry.endpoint.host;
    dump.data_centre = entry.endpoint.data_centre;
    dump.slots = this->GetUsableSlots(now, entry);
    dump.in_flight = entry.stats.GetInFlight();
    // A target that has left the list only finishes its requests, like a draining one.
    dump.draining = entry.endpoint.draining || !entry.known;
    dump.ejected = this->ejector.IsEjected(now, address);
    dump.requests = entry.stats.GetRequests();
    dump.failures = entry.stats.GetFailures();
    dumps.push_back(dump);
  }
  return dumps;
}

TargetDistance TargetSelector::GetDistance(const TargetEndpoint& endpoint) const {
  if (endpoint.region != this->region) {
    return TargetDistance::kRemote;
  }
  return endpoint.data_centre == this->data_centre ? TargetDistance::kDataCentre
                                                   : TargetDistance::kRegion;
}

std::uint32_t TargetSelector::GetUsableSlots(TimePoint now, const Entry& entry) const {
  // After an ejection, one request at a time checks whether the target works again.
  if (this->ejector.IsOnProbation(now, entry.endpoint.address)) {
    return 1;
  }
  return entry.stats.GetAssumedSlots(now);
}

double TargetSelector::GetLoad(TimePoint now, const Entry& entry) const {
  const double weight = this->GetUsableSlots(now, entry) *
                        entry.stats.GetWarmUpFactor(now, this->cold_start) *
                        GetReportedLoadFactor(entry.endpoint.reported_load_permille);
  // A target that fails immediately has few requests in flight. Without the factor for failures,
  // it would receive more requests until it is ejected.
  return (entry.stats.GetInFlight() + 1.0) * (entry.stats.GetConsecutiveFailures() + 1.0) / weight;
}

void TargetSelector::CollectCandidates(TimePoint now, std::span<const std::string> excluded,
                                       TargetChoice& choice) {
  this->candidates.clear();
  std::uint32_t accepting = 0;
  for (const auto& [address, entry] : this->entries) {
    if (!entry.known || entry.endpoint.draining) {
      ++choice.draining;
      continue;
    }
    ++accepting;
    if (std::find(excluded.begin(), excluded.end(), address) != excluded.end()) {
      ++choice.excluded;
    } else if (this->ejector.IsEjected(now, address)) {
      ++choice.ejected;
    } else if (entry.stats.GetInFlight() >= this->GetUsableSlots(now, entry)) {
      ++choice.full;
    } else if (this->candidates.empty() || entry.distance < choice.distance) {
      this->candidates.assign(1, &entry);
      choice.distance = entry.distance;
    } else if (entry.distance == choice.distance) {
      this->candidates.push_back(&entry);
    }
  }
  choice.candidates = static_cast<std::uint32_t>(this->candidates.size());
  if (!this->candidates.empty()) {
    choice.kind = TargetChoiceKind::kTarget;
  } else if (accepting == 0) {
    choice.kind = TargetChoiceKind::kNoneKnown;
  } else if (choice.full > 0) {
    choice.kind = TargetChoiceKind::kAllFull;
  } else {
    choice.kind =
        choice.ejected > 0 ? TargetChoiceKind::kAllEjected : TargetChoiceKind::kAllExcluded;
  }
}

void TargetSelector::Compare(TimePoint now, const Entry& first, const Entry& second,
                             TargetChoice& choice) const {
  const double first_load = this->GetLoad(now, first);
  const double second_load = this->GetLoad(now, second);
  const bool choose_first = first_load != second_load
                                ? first_load < second_load
                                : first.stats.GetLatency() <= second.stats.GetLatency();
  const Entry& chosen = choose_first ? first : second;
  const Entry& other = choose_first ? second : first;
  choice.address = chosen.endpoint.address;
  choice.host = chosen.endpoint.host;
  choice.in_flight = chosen.stats.GetInFlight();
  choice.usable_slots = this->GetUsableSlots(now, chosen);
  if (&chosen != &other) {
    choice.compared_address = other.endpoint.address;
    choice.compared_in_flight = other.stats.GetInFlight();
  }
}

}  // namespace lacewingbridge
