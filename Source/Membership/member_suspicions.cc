#include "Membership/member_suspicions.h"

#include <algorithm>
#include <utility>

namespace lacewingbridge {

namespace {

// If more than a third of the members are suspect, a fault of this daemon's network is more
// likely than a fault of the members.
constexpr std::size_t kDistrustDivisor = 3;

// More suspects at a time than one in twenty members cannot be explained by single crashes.
constexpr std::size_t kManySuspectsDivisor = 20;
// Up to this number of suspects is normal in a data centre of any size.
constexpr std::size_t kMaxUsualSuspicions = 2;

}  // namespace

void MemberSuspicions::Track(const MemberRecord& record, TimePoint now, bool refused) {
  const auto [entry, inserted] =
      this->suspicions.try_emplace(record.host, Suspicion{0, 0, now, refused, TimePoint::min()});
  Suspicion& suspicion = entry->second;
  const auto known = std::pair(suspicion.incarnation, suspicion.sequence);
  if (inserted || known < std::pair(record.incarnation, record.sequence)) {
    suspicion = Suspicion{record.incarnation, record.sequence, now, refused, TimePoint::min()};
  } else if (refused && !suspicion.refused) {
    suspicion.refused = true;
    suspicion.since = now;
  }
}

void MemberSuspicions::Postpone(Duration pause) {
  for (auto& [host, suspicion] : this->suspicions) {
    suspicion.since += pause;
  }
}

void MemberSuspicions::DropRefuted(const MemberTable& table) {
  std::erase_if(this->suspicions, [&](const auto& entry) {
    const MemberRecord* record = table.Find(entry.first);
    return record == nullptr || record->state == MemberState::kDead ||
           std::pair(record->incarnation, record->sequence) !=
               std::pair(entry.second.incarnation, entry.second.sequence);
  });
}

std::size_t MemberSuspicions::CountSince(TimePoint oldest) const {
  return static_cast<std::size_t>(std::count_if(
      this->suspicions.begin(), this->suspicions.end(),
      [&](const auto& entry) { return !entry.second.refused && entry.second.since >= oldest; }));
}

void MemberSuspicions::CheckTrust(MemberTable& table, TimePoint now,
                                  std::vector<MemberEvent>& events) {
  const std::size_t members = table.CountMembers(table.GetSelf().data_centre);
  // Once the view is distrusted, older suspicions count as well. Otherwise members that do
  // not respond for longer than the window would end the distrust.
  const TimePoint oldest =
      this->distrusted ? TimePoint::min() : now - this->options.distrust_window;
  const bool too_many = this->CountSince(oldest) * kDistrustDivisor > members;
  if (too_many == this->distrusted) {
    return;
  }
  this->distrusted = too_many;
  table.SetTreatDeadAsSuspect(too_many);
  events.push_back({too_many ? Event::kViewDistrusted : Event::kViewTrusted, ""});
  if (!too_many) {
    // The remaining suspects get additional time: they still have to receive the suspicions,
    // and their refutations arrive together with those of half the data centre.
    for (auto& [host, suspicion] : this->suspicions) {
      suspicion.since = now + this->options.distrust_window;
    }
  }
}

bool MemberSuspicions::IsManySuspect(const MemberTable& table) const {
  const std::size_t members = table.CountMembers(table.GetSelf().data_centre);
  return this->CountSince(TimePoint::min()) >
         std::max(kMaxUsualSuspicions, members / kManySuspectsDivisor);
}

// While many members are suspect, the limit is at least the whole distrust window: with one
// probe per second, it takes longer than the normal suspicion time until the number of
// suspicions shows a partition.
Duration MemberSuspicions::GetTimeLimit(const Suspicion& suspicion, bool many_suspect) const {
  if (suspicion.refused) {
    return this->options.refused_suspicion;
  }
  return many_suspect ? std::max(this->options.suspicion, this->options.distrust_window)
                      : this->options.suspicion;
}

std::optional<std::string> MemberSuspicions::TakeSuspectToProbe(const MemberTable& table,
                                                                TimePoint now) {
  if (this->suspicions.empty() || this->distrusted) {
    return std::nullopt;
  }
  const bool many = this->IsManySuspect(table);
  auto next = this->suspicions.end();
  for (auto it = this->suspicions.begin(); it != this->suspicions.end(); ++it) {
    const Suspicion& suspicion = it->second;
    // Suspicions that remain after the distrust begin in the future. Their members may be
    // probed immediately.
    const bool due = (suspicion.since > now ||
                      (now - suspicion.since) * 2 >= this->GetTimeLimit(suspicion, many)) &&
                     suspicion.last_probe <= now - this->options.suspect_probe_interval;
    if (due && (next == this->suspicions.end() || suspicion.last_probe < next->second.last_probe)) {
      next = it;
    }
  }
  if (next == this->suspicions.end()) {
    return std::nullopt;
  }
  next->second.last_probe = now;
  return next->first;
}

std::vector<MemberEvent> MemberSuspicions::Tick(MemberTable& table, TimePoint now) {
  std::vector<MemberEvent> events;
  this->DropRefuted(table);
  if (this->suspicions.empty() && !this->distrusted) {
    return events;
  }
  this->CheckTrust(table, now, events);
  const bool many = this->IsManySuspect(table);
  for (const auto& [host, suspicion] : this->suspicions) {
    const bool over = now - suspicion.since >= this->GetTimeLimit(suspicion, many);
    if (over && (suspicion.refused || !this->distrusted) && table.MarkDead(host, now)) {
      events.push_back({Event::kMemberDead, host});
    }
  }
  return events;
}

}  // namespace lacewingbridge
