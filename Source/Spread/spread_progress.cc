#include "Spread/spread_progress.h"

#include <algorithm>
#include <utility>

#include "Core/hash.h"
#include "Spread/spread_node.h"
#include "Spread/spread_stamp.h"

namespace lacewingbridge {

namespace {

constexpr SpreadStampLess kIsOlder;

}  // namespace

std::string SpreadProgress::GetCollector(const MemberTable& table) {
  const std::string& data_centre = table.GetSelf().data_centre;
  const std::vector<std::string> hosts = table.ListHosts(data_centre);
  return hosts.empty() ? table.GetSelf().host : hosts[SelectByHash(data_centre, hosts)];
}

// A restarted member holds no version at first, so the stamp of its earlier incarnation is
// replaced.
void SpreadProgress::RecordStamp(const MemberTable& table, const GossipDatagram& datagram) {
  const MemberRecord* member = table.Find(datagram.sender_host);
  if (member == nullptr || member->data_centre != table.GetSelf().data_centre) {
    return;
  }
  ReportedStamp& reported = this->stamps[datagram.sender_host];
  if (datagram.sender_incarnation > reported.incarnation) {
    reported = ReportedStamp{datagram.sender_incarnation, datagram.held};
  } else if (datagram.sender_incarnation == reported.incarnation &&
             kIsOlder(reported.stamp, datagram.held)) {
    reported.stamp = datagram.held;
  }
}

void SpreadProgress::HandleHeld(const VersionStamp& stamp, TimePoint now, std::mt19937_64& random) {
  this->held = stamp;
  std::uniform_int_distribution<Duration::rep> jitter(0, this->options.report_jitter.count());
  this->report_at = now + Duration(jitter(random));
}

std::vector<SendDatagram> SpreadProgress::Tick(const MemberTable& table, TimePoint now) {
  this->UpdateCollector(table, now);
  if (this->collector == table.GetSelf().host) {
    this->report_at.reset();
    this->Measure(table, now);
    return this->PollLagging(table, now);
  }
  this->polled_at.clear();
  this->complete_at.reset();
  if (!this->report_at.has_value() || now < *this->report_at) {
    return {};
  }
  this->report_at.reset();
  const MemberRecord* record = table.Find(this->collector);
  if (record == nullptr) {
    return {};
  }
  return {SendDatagram{record->control_address, SpreadNode::MakePush(table, this->held)}};
}

void SpreadProgress::UpdateCollector(const MemberTable& table, TimePoint now) {
  if (this->collector_checked_at.has_value() &&
      now - *this->collector_checked_at < this->options.collector_interval) {
    return;
  }
  this->collector_checked_at = now;
  std::string ranked_first = GetCollector(table);
  if (ranked_first != this->collector) {
    this->collector = std::move(ranked_first);
    // The new collector has not received a report of this daemon.
    this->report_at = now;
  }
  std::erase_if(this->stamps, [&](const auto& entry) {
    const MemberRecord* member = table.Find(entry.first);
    return member == nullptr || member->state == MemberState::kDead;
  });
}

VersionStamp SpreadProgress::GetStamp(const MemberRecord& member) const {
  const auto found = this->stamps.find(member.host);
  const bool known = found != this->stamps.end() && found->second.incarnation >= member.incarnation;
  return known ? found->second.stamp : VersionStamp{};
}

bool SpreadProgress::KnowsNewer(const VersionStamp& stamp) const {
  return std::any_of(this->entries.begin(), this->entries.end(), [&stamp](const auto& entry) {
    return kIsOlder(stamp, entry.second.progress.lowest);
  });
}

void SpreadProgress::Measure(const MemberTable& table, TimePoint now) {
  const MemberRecord& self = table.GetSelf();
  this->stamps[self.host] = ReportedStamp{self.incarnation, this->held};
  VersionStamp newest = this->held;
  for (const auto& [host, reported] : this->stamps) {
    newest = std::max(newest, reported.stamp, kIsOlder);
  }
  DataCentreProgress progress;
  progress.data_centre = self.data_centre;
  progress.region = self.region;
  progress.lowest = newest;
  for (const MemberRecord* member : table.ListMembers(self.data_centre)) {
    const VersionStamp stamp = this->GetStamp(*member);
    ++progress.member_count;
    progress.lagging_count += kIsOlder(stamp, newest) ? 1 : 0;
    progress.lowest = std::min(progress.lowest, stamp, kIsOlder);
  }
  if (progress.lagging_count == 0 || !this->complete_at.has_value()) {
    this->complete_at = now;
  }
  progress.lagging_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, CountMilliseconds(now - *this->complete_at)));
  this->entries.insert_or_assign(self.data_centre, Entry{std::move(progress), now});
}

std::vector<SendDatagram> SpreadProgress::PollLagging(const MemberTable& table, TimePoint now) {
  std::vector<SendDatagram> sends;
  std::erase_if(this->polled_at, [&](const auto& entry) {
    return now - entry.second >= this->options.poll_interval;
  });
  const bool overdue = now - *this->complete_at >= this->options.poll_interval;
  for (const MemberRecord* member : table.ListMembers(table.GetSelf().data_centre)) {
    if (!overdue || sends.size() >= this->options.polls_per_tick) {
      break;
    }
    if (!kIsOlder(this->GetStamp(*member), this->held) || this->polled_at.contains(member->host)) {
      continue;
    }
    this->polled_at.emplace(member->host, now);
    GossipDatagram datagram = SpreadNode::MakePush(table, this->held);
    // The failure detector uses no probe id 0, so it ignores the acknowledgement. Only the stamp in
    // the acknowledgement is needed.
    datagram.kind = GossipKind::kProbe;
    sends.push_back(SendDatagram{member->control_address, std::move(datagram)});
  }
  return sends;
}

void SpreadProgress::Merge(const DataCentreProgress& progress, TimePoint now) {
  if (progress.data_centre.empty()) {
    return;
  }
  const TimePoint measured = now - std::chrono::milliseconds(std::min<std::uint64_t>(
                                       progress.age_ms, std::uint64_t{1} << 40U));
  const auto found = this->entries.find(progress.data_centre);
  if (found != this->entries.end()) {
    if (found->second.measured < measured) {
      found->second = Entry{progress, measured};
    }
  } else if (this->entries.size() < this->options.max_data_centres) {
    this->entries.emplace(progress.data_centre, Entry{progress, measured});
  }
}

DataCentreProgress SpreadProgress::GetProgressWithAge(const Entry& entry, TimePoint now) const {
  DataCentreProgress progress = entry.progress;
  progress.age_ms = static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, CountMilliseconds(now - entry.measured)));
  return progress;
}

std::vector<DataCentreProgress> SpreadProgress::List(TimePoint now) const {
  std::vector<DataCentreProgress> list;
  for (const auto& [data_centre, entry] : this->entries) {
    list.push_back(this->GetProgressWithAge(entry, now));
  }
  return list;
}

bool SpreadProgress::HasRecent(std::string_view data_centre, TimePoint now) const {
  const auto found = this->entries.find(data_centre);
  return found != this->entries.end() &&
         this->GetProgressWithAge(found->second, now).age_ms <= kMaxProgressAgeMs;
}

std::optional<DataCentreProgress> SpreadProgress::GetNextEntry(TimePoint now) {
  if (this->entries.empty()) {
    return std::nullopt;
  }
  auto next = this->entries.upper_bound(this->last_taken);
  if (next == this->entries.end()) {
    next = this->entries.begin();
  }
  this->last_taken = next->first;
  return this->GetProgressWithAge(next->second, now);
}

}  // namespace lacewingbridge
