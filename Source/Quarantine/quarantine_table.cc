#include "Quarantine/quarantine_table.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

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
  const bool is_running =
      this->running_counts.contains(fingerprint) && !this->HasResponse(fingerprint);
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

void QuarantineTable::Finish(std::uint64_t fingerprint, std::string_view target,
                             bool got_response) {
  const auto struck = this->entries.find(fingerprint);
  if (got_response && struck != this->entries.end()) {
    struck->second.got_response = true;
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

void QuarantineTable::RecordLostConnection(TimePoint now, std::uint64_t fingerprint,
                                           std::string_view target, std::uint64_t incarnation) {
  this->Expire(now);
  const QuarantineStrike strike{fingerprint, std::string(target), incarnation};
  const bool is_known =
      std::any_of(this->suspicions.begin(), this->suspicions.end(),
                  [&strike](const Suspicion& item) { return item.strike == strike; });
  if (is_known) {
    return;
  }
  if (this->suspicions.size() >= this->limits.suspicion_capacity) {
    this->suspicions.pop_front();
  }
  this->suspicions.push_back(Suspicion{now, strike});
}

std::size_t QuarantineTable::RecordRefusedConnection(TimePoint now, std::string_view target) {
  return this->ConfirmSuspicions(
      now, [target](const QuarantineStrike& strike) { return strike.target_address == target; });
}

std::size_t QuarantineTable::RecordIncarnation(TimePoint now, std::string_view target,
                                               std::uint64_t incarnation) {
  return this->ConfirmSuspicions(now, [target, incarnation](const QuarantineStrike& strike) {
    return strike.target_address == target && strike.target_incarnation < incarnation;
  });
}

template <typename Selector>
std::size_t QuarantineTable::ConfirmSuspicions(TimePoint now, Selector&& select) {
  this->Expire(now);
  std::vector<QuarantineStrike> confirmed;
  std::erase_if(this->suspicions, [&](const Suspicion& item) {
    if (!select(item.strike)) {
      return false;
    }
    confirmed.push_back(item.strike);
    return true;
  });
  return this->MergeStrikes(now, confirmed);
}

std::size_t QuarantineTable::MergeStrikes(TimePoint now,
                                          std::span<const QuarantineStrike> strikes) {
  this->Expire(now);
  std::size_t quarantined = 0;
  for (const QuarantineStrike& strike : strikes) {
    quarantined += this->AddStrike(now, strike) ? 1 : 0;
  }
  return quarantined;
}

std::vector<QuarantineStrike> QuarantineTable::TakeStrikes(std::size_t max_count) {
  std::vector<QuarantineStrike> taken;
  for (Outgoing& item : this->outgoing) {
    if (taken.size() == max_count) {
      break;
    }
    taken.push_back(item.strike);
    --item.sends_left;
  }
  std::erase_if(this->outgoing, [](const Outgoing& item) { return item.sends_left == 0; });
  return taken;
}

bool QuarantineTable::IsQuarantined(TimePoint now, std::uint64_t fingerprint) {
  this->Expire(now);
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && found->second.strikes.size() >= this->limits.strike_limit;
}

std::vector<QuarantineStrike> QuarantineTable::ListStrikes(std::uint64_t fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  return found == this->entries.end() ? std::vector<QuarantineStrike>() : found->second.strikes;
}

void QuarantineTable::Expire(TimePoint now) {
  while (!this->suspicions.empty() &&
         this->suspicions.front().since + this->limits.proof_window <= now) {
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

bool QuarantineTable::AddStrike(TimePoint now, const QuarantineStrike& strike) {
  const auto known = this->entries.find(strike.fingerprint);
  if (known != this->entries.end()) {
    const std::vector<QuarantineStrike>& strikes = known->second.strikes;
    const bool is_full = strikes.size() >= this->limits.strike_limit;
    if (is_full || std::find(strikes.begin(), strikes.end(), strike) != strikes.end()) {
      return false;
    }
  }
  Entry& entry = this->TouchEntry(strike.fingerprint)->second;
  entry.strikes.push_back(strike);
  entry.last_strike = now;
  entry.got_response = false;
  this->QueueStrike(strike);
  return entry.strikes.size() >= this->limits.strike_limit;
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

void QuarantineTable::QueueStrike(const QuarantineStrike& strike) {
  if (this->outgoing.size() >= this->limits.entry_capacity) {
    this->outgoing.pop_back();
  }
  this->outgoing.push_front(Outgoing{strike, this->limits.sends_per_strike});
}

std::size_t QuarantineTable::CountStrikes(std::uint64_t fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  std::size_t count = found == this->entries.end() ? 0 : found->second.strikes.size();
  for (const Suspicion& item : this->suspicions) {
    if (item.strike.fingerprint != fingerprint) {
      continue;
    }
    const bool is_counted = found != this->entries.end() &&
                            std::find(found->second.strikes.begin(), found->second.strikes.end(),
                                      item.strike) != found->second.strikes.end();
    count += is_counted ? 0 : 1;
  }
  return count;
}

bool QuarantineTable::HasResponse(std::uint64_t fingerprint) const {
  const auto found = this->entries.find(fingerprint);
  return found != this->entries.end() && found->second.got_response;
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
