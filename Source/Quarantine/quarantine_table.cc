#include "Quarantine/quarantine_table.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

namespace {

// Excused strikes that are kept of each request.
constexpr std::size_t kMaxExcused = 16;

QuarantineEvidence WithAge(TimePoint now, TimePoint at, QuarantineEvidence evidence) {
  evidence.age_ms =
      static_cast<std::uint64_t>(std::max<std::int64_t>(CountMilliseconds(now - at), 0));
  return evidence;
}

}  // namespace

std::uint64_t ComputeFingerprint(std::string_view route, std::string_view content) {
  return CombineHashes(HashBytes(route), HashBytes(content));
}

QuarantineDecision QuarantineTable::MayStart(TimePoint now, std::uint64_t fingerprint,
                                             std::string_view target) {
  if (this->IsQuarantined(now, fingerprint)) {
    return QuarantineDecision::kQuarantined;
  }
  const std::size_t strikes = this->CountStrikes(fingerprint);
  if (strikes == 0) {
    return QuarantineDecision::kRun;
  }
  const bool is_at_limit = strikes >= this->limits.strike_limit;
  const bool is_running = this->running_counts.contains(fingerprint);
  return is_at_limit || is_running || this->IsOtherStruckRequestRunning(fingerprint, target)
             ? QuarantineDecision::kWait
             : QuarantineDecision::kRun;
}

void QuarantineTable::Start(std::uint64_t fingerprint, std::string_view target) {
  auto found = this->running.find(target);
  if (found == this->running.end()) {
    found = this->running.emplace(target, std::map<std::uint64_t, std::uint32_t>()).first;
  }
  ++found->second[fingerprint];
  ++this->running_counts[fingerprint];
}

void QuarantineTable::Finish(TimePoint now, std::uint64_t fingerprint, std::string_view target,
                             bool got_response) {
  if (got_response) {
    this->RecordResponse(now, fingerprint, target);
  }
  const auto on_target = this->running.find(target);
  if (on_target == this->running.end()) {
    return;
  }
  const auto found = on_target->second.find(fingerprint);
  if (found == on_target->second.end()) {
    return;
  }
  if (--found->second == 0) {
    on_target->second.erase(found);
  }
  if (on_target->second.empty()) {
    this->running.erase(on_target);
  }
  const auto count = this->running_counts.find(fingerprint);
  if (--count->second == 0) {
    this->running_counts.erase(count);
  }
}

void QuarantineTable::RecordResponse(TimePoint now, std::uint64_t fingerprint,
                                     std::string_view target) {
  this->responses.Record(now, fingerprint);
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return;
  }
  const TimedEvidence response{now, {fingerprint, std::string(target), 0, true}};
  found->second.response = response;
  if (this->ExcuseStrikes(found->second)) {
    this->Queue(response);
  }
}

void QuarantineTable::RecordLostConnection(TimePoint now, std::uint64_t fingerprint,
                                           std::string_view target, std::uint64_t incarnation) {
  this->Expire(now);
  const QuarantineEvidence strike{fingerprint, std::string(target), incarnation};
  const bool is_known =
      std::any_of(this->suspicions.begin(), this->suspicions.end(),
                  [&strike](const TimedEvidence& item) { return item.evidence == strike; });
  if (is_known) {
    return;
  }
  if (this->suspicions.size() >= this->limits.suspicion_capacity) {
    this->suspicions.pop_front();
  }
  this->suspicions.push_back({now, strike});
}

std::size_t QuarantineTable::RecordRefusedConnection(TimePoint now, std::string_view target) {
  return this->ConfirmSuspicions(
      now, [target](const QuarantineEvidence& strike) { return strike.target_address == target; });
}

std::size_t QuarantineTable::RecordIncarnation(TimePoint now, std::string_view target,
                                               std::uint64_t incarnation) {
  return this->ConfirmSuspicions(now, [target, incarnation](const QuarantineEvidence& strike) {
    return strike.target_address == target && strike.target_incarnation < incarnation;
  });
}

template <typename Selector>
std::size_t QuarantineTable::ConfirmSuspicions(TimePoint now, Selector&& select) {
  this->Expire(now);
  std::vector<TimedEvidence> confirmed;
  std::erase_if(this->suspicions, [&](const TimedEvidence& item) {
    if (!select(item.evidence)) {
      return false;
    }
    confirmed.push_back(item);
    return true;
  });
  std::size_t quarantined = 0;
  for (const TimedEvidence& strike : confirmed) {
    quarantined += this->AddStrike(now, strike) ? 1 : 0;
  }
  return quarantined;
}

std::size_t QuarantineTable::MergeEvidence(TimePoint now,
                                           std::span<const QuarantineEvidence> received) {
  this->Expire(now);
  std::size_t quarantined = 0;
  for (const QuarantineEvidence& evidence : received) {
    const auto max_age_ms = static_cast<std::uint64_t>(CountMilliseconds(this->limits.quarantine));
    const std::chrono::milliseconds age(std::min(evidence.age_ms, max_age_ms));
    TimedEvidence item{now - age, evidence};
    item.evidence.age_ms = 0;
    if (evidence.target_responded) {
      this->AddResponse(now, item);
    } else {
      quarantined += this->AddStrike(now, item) ? 1 : 0;
    }
  }
  return quarantined;
}

std::vector<QuarantineEvidence> QuarantineTable::TakeEvidence(TimePoint now,
                                                              std::size_t max_count) {
  std::vector<QuarantineEvidence> taken;
  for (Outgoing& outgoing_item : this->outgoing) {
    if (taken.size() == max_count) {
      break;
    }
    taken.push_back(WithAge(now, outgoing_item.item.at, outgoing_item.item.evidence));
    --outgoing_item.sends_left;
  }
  std::erase_if(this->outgoing, [](const Outgoing& item) { return item.sends_left == 0; });
  return taken;
}

bool QuarantineTable::IsQuarantined(TimePoint now, std::uint64_t fingerprint) {
  this->Expire(now);
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && found->second.strikes.size() >= this->limits.strike_limit;
}

std::vector<QuarantineEvidence> QuarantineTable::ListEvidence(TimePoint now,
                                                              std::uint64_t fingerprint) const {
  std::vector<QuarantineEvidence> listed;
  const auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    return listed;
  }
  for (const TimedEvidence& strike : found->second.strikes) {
    listed.push_back(WithAge(now, strike.at, strike.evidence));
  }
  if (const std::optional<TimedEvidence>& response = found->second.response) {
    listed.push_back(WithAge(now, response->at, response->evidence));
  }
  return listed;
}

void QuarantineTable::Expire(TimePoint now) {
  while (!this->suspicions.empty() &&
         this->suspicions.front().at + this->limits.proof_window <= now) {
    this->suspicions.pop_front();
  }
  // Every strike moves its entry to the end of `order`, so the first entry expires first.
  while (!this->order.empty()) {
    const auto found = this->entries.find(this->order.front());
    if (found->second.last_strike + this->limits.quarantine > now) {
      break;
    }
    this->EraseEntry(found);
  }
}

bool QuarantineTable::AddStrike(TimePoint now, const TimedEvidence& strike) {
  const std::uint64_t fingerprint = strike.evidence.fingerprint;
  std::optional<TimedEvidence> response = this->FindResponse(fingerprint);
  if (response.has_value() && response->evidence.target_address.empty()) {
    // Receivers find the service of the request by the address of any of its targets.
    response->evidence.target_address = strike.evidence.target_address;
  }
  const auto known = this->entries.find(fingerprint);
  if (known != this->entries.end()) {
    const Entry& entry = known->second;
    const bool is_counted =
        std::any_of(entry.strikes.begin(), entry.strikes.end(),
                    [&strike](const auto& item) { return item.evidence == strike.evidence; });
    if (is_counted) {
      return false;
    }
    if (std::find(entry.excused.begin(), entry.excused.end(), strike.evidence) !=
        entry.excused.end()) {
      this->RepeatResponse(*response);
      return false;
    }
    if (entry.strikes.size() >= this->limits.strike_limit) {
      return false;
    }
  }
  const bool excused = this->IsExcused(fingerprint, strike.at);
  Entry& entry = this->TouchEntry(fingerprint)->second;
  entry.last_strike = now;
  if (excused) {
    AddExcused(entry, strike.evidence);
    entry.response = response;
    this->Queue(*response);
    return false;
  }
  entry.strikes.push_back(strike);
  this->Queue(strike);
  return entry.strikes.size() >= this->limits.strike_limit;
}

void QuarantineTable::AddResponse(TimePoint now, const TimedEvidence& response) {
  const std::uint64_t fingerprint = response.evidence.fingerprint;
  const std::optional<TimedEvidence> known = this->FindResponse(fingerprint);
  const bool is_new = !known.has_value();
  if (!is_new && known->at >= response.at) {
    return;
  }
  auto found = this->entries.find(fingerprint);
  if (found == this->entries.end()) {
    found = this->TouchEntry(fingerprint);
    found->second.last_strike = now;
  }
  found->second.response = response;
  if (this->ExcuseStrikes(found->second) || is_new) {
    this->Queue(response);
  }
}

bool QuarantineTable::ExcuseStrikes(Entry& entry) {
  const TimePoint until = entry.response->at + this->limits.response_validity;
  return std::erase_if(entry.strikes, [&](const TimedEvidence& strike) {
           if (strike.at > until) {
             return false;
           }
           AddExcused(entry, strike.evidence);
           return true;
         }) > 0;
}

void QuarantineTable::AddExcused(Entry& entry, const QuarantineEvidence& strike) {
  if (entry.excused.size() >= kMaxExcused) {
    entry.excused.pop_front();
  }
  entry.excused.push_back(strike);
}

std::optional<QuarantineTable::TimedEvidence> QuarantineTable::FindResponse(
    std::uint64_t fingerprint) const {
  std::optional<TimedEvidence> response;
  if (const std::optional<TimePoint> at = this->responses.Find(fingerprint)) {
    response = TimedEvidence{*at, {fingerprint, {}, 0, true}};
  }
  const auto found = this->entries.find(fingerprint);
  if (found != this->entries.end() && found->second.response.has_value() &&
      (!response.has_value() || found->second.response->at >= response->at)) {
    response = found->second.response;
  }
  return response;
}

bool QuarantineTable::IsExcused(std::uint64_t fingerprint, TimePoint crashed_at) const {
  const std::optional<TimedEvidence> response = this->FindResponse(fingerprint);
  return response.has_value() && crashed_at <= response->at + this->limits.response_validity;
}

QuarantineTable::EntryMap::iterator QuarantineTable::TouchEntry(std::uint64_t fingerprint) {
  auto found = this->entries.find(fingerprint);
  if (found != this->entries.end()) {
    this->order.splice(this->order.end(), this->order, found->second.order);
    return found;
  }
  if (this->entries.size() >= this->limits.entry_capacity) {
    this->EraseEntry(this->entries.find(this->order.front()));
  }
  found = this->entries.emplace(fingerprint, Entry()).first;
  found->second.order = this->order.insert(this->order.end(), fingerprint);
  return found;
}

void QuarantineTable::EraseEntry(EntryMap::iterator found) {
  this->order.erase(found->second.order);
  this->entries.erase(found);
}

void QuarantineTable::Queue(const TimedEvidence& item) {
  if (item.evidence.target_responded) {
    // Only the newest response to a request matters.
    std::erase_if(this->outgoing, [&item](const Outgoing& queued) {
      return queued.item.evidence.target_responded &&
             queued.item.evidence.fingerprint == item.evidence.fingerprint;
    });
  }
  if (this->outgoing.size() >= this->limits.entry_capacity) {
    this->outgoing.pop_back();
  }
  this->outgoing.push_front(Outgoing{item, this->limits.sends_per_evidence});
}

void QuarantineTable::RepeatResponse(const TimedEvidence& response) {
  const bool queued =
      std::any_of(this->outgoing.begin(), this->outgoing.end(), [&response](const Outgoing& item) {
        return item.item.evidence.target_responded &&
               item.item.evidence.fingerprint == response.evidence.fingerprint;
      });
  if (!queued) {
    this->outgoing.push_front(Outgoing{response, 1});
  }
}

std::size_t QuarantineTable::CountStrikes(std::uint64_t fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  std::size_t count = found == this->entries.end() ? 0 : found->second.strikes.size();
  for (const TimedEvidence& item : this->suspicions) {
    if (item.evidence.fingerprint != fingerprint || this->IsExcused(fingerprint, item.at)) {
      continue;
    }
    const bool is_counted = found != this->entries.end() &&
                            std::any_of(found->second.strikes.begin(), found->second.strikes.end(),
                                        [&item](const TimedEvidence& strike) {
                                          return strike.evidence == item.evidence;
                                        });
    count += is_counted ? 0 : 1;
  }
  return count;
}

bool QuarantineTable::IsOtherStruckRequestRunning(std::uint64_t fingerprint,
                                                  std::string_view target) const {
  const auto found = this->running.find(target);
  return found != this->running.end() &&
         std::any_of(found->second.begin(), found->second.end(), [&](const auto& item) {
           return item.first != fingerprint && this->CountStrikes(item.first) > 0;
         });
}

}  // namespace lacewingbridge
