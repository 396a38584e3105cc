#include "Membership/member_table.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>
#include <utility>

#include "Core/hash.h"

namespace lacewingbridge {

namespace {

// With n records in the table, each update is sent ceil(kTransmissionsPerLog * ln(n + 1)) times.
constexpr double kTransmissionsPerLog = 3.0;

// Returns the key by which records of a host override each other. At the same sequence the
// higher value of MemberState wins. Draining is above suspect there, so a suspicion cannot
// hide that a member drains.
auto GetOrder(const MemberRecord& record) {
  return std::tuple(record.incarnation, record.sequence, static_cast<int>(record.state));
}

bool IsEqualExceptLoad(TargetRecord left, const TargetRecord& right) {
  left.reported_load_permille = right.reported_load_permille;
  return left == right;
}

}  // namespace

MemberTable::MemberTable(MemberRecord own_record, MemberTableOptions table_options)
    : self(std::move(own_record)), options(table_options) {
  this->QueueUpdate(this->self);
}

Result<MemberTable> MemberTable::Create(MemberRecord self, MemberTableOptions options) {
  if (self.host.empty() || self.data_centre.empty() || self.control_address.empty()) {
    return Error{ErrorKind::kInvalidArgument,
                 "the member record of this daemon needs a host, a data centre and a control "
                 "address"};
  }
  if (self.state == MemberState::kUnknown) {
    self.state = MemberState::kAlive;
  }
  return MemberTable(std::move(self), options);
}

const MemberRecord* MemberTable::Find(std::string_view host) const {
  if (host == this->self.host) {
    return &this->self;
  }
  const auto found = this->entries.find(host);
  return found == this->entries.end() ? nullptr : &found->second.record;
}

MemberMerge MemberTable::Merge(const MemberRecord& record, TimePoint now) {
  if (record.host.empty() || record.state == MemberState::kUnknown) {
    return MemberMerge::kRejected;
  }
  if (record.host == this->self.host) {
    return this->MergeSelf(record);
  }
  const auto found = this->entries.find(record.host);
  if (found == this->entries.end()) {
    return this->Insert(record, now);
  }
  return this->MergeKnown(found->second, record, now);
}

MemberMerge MemberTable::MergeListed(const MemberRecord& record, TimePoint now) {
  const bool was_urgent = this->urgent;
  const MemberMerge merge = this->Merge(record, now);
  if (merge == MemberMerge::kJoined || merge == MemberMerge::kUpdated) {
    this->queue.Remove(record.host);
    this->urgent = was_urgent;
  }
  return merge;
}

MemberMerge MemberTable::MergeSelf(const MemberRecord& record) {
  if (record.incarnation > this->self.incarnation) {
    return MemberMerge::kSelfSuperseded;
  }
  if (GetOrder(record) <= GetOrder(this->self)) {
    return MemberMerge::kUnchanged;
  }
  this->self.sequence = record.sequence;
  this->RaiseOwnSequence();
  return MemberMerge::kRefuted;
}

MemberMerge MemberTable::MergeKnown(Entry& entry, const MemberRecord& record, TimePoint now) {
  if (GetOrder(record) <= GetOrder(entry.record)) {
    return MemberMerge::kUnchanged;
  }
  MemberRecord next = record;
  if (this->treat_dead_as_suspect && next.state == MemberState::kDead &&
      next.data_centre == this->self.data_centre) {
    next.state = MemberState::kSuspect;
    if (GetOrder(next) <= GetOrder(entry.record)) {
      return MemberMerge::kUnchanged;
    }
  }
  const bool joined = entry.record.state == MemberState::kDead
                          ? next.state != MemberState::kDead
                          : next.incarnation > entry.record.incarnation;
  entry.record = std::move(next);
  if (entry.record.state == MemberState::kDead) {
    entry.dead_since = now;
  }
  this->QueueUpdate(entry.record);
  return joined ? MemberMerge::kJoined : MemberMerge::kUpdated;
}

MemberMerge MemberTable::Insert(const MemberRecord& record, TimePoint now) {
  if (this->GetRecordCount() >= this->options.max_records && !this->EvictDead()) {
    return MemberMerge::kRejected;
  }
  this->entries.emplace(record.host, Entry{record, now});
  if (record.state == MemberState::kDead) {
    // The record is kept only to reject older records of the host. If it were gossiped, two
    // data centres would renew each other's dead records forever.
    return MemberMerge::kUnchanged;
  }
  this->QueueUpdate(record);
  return MemberMerge::kJoined;
}

bool MemberTable::EvictDead() {
  auto oldest = this->entries.end();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    if (it->second.record.state == MemberState::kDead &&
        (oldest == this->entries.end() || it->second.dead_since < oldest->second.dead_since)) {
      oldest = it;
    }
  }
  if (oldest == this->entries.end()) {
    return false;
  }
  this->queue.Remove(oldest->first);
  this->entries.erase(oldest);
  return true;
}

void MemberTable::RaiseOwnSequence() {
  ++this->self.sequence;
  this->QueueUpdate(this->self);
}

void MemberTable::QueueUpdate(const MemberRecord& record) {
  this->queue.Add(record.host);
  this->urgent = this->urgent || record.state != MemberState::kSuspect;
}

void MemberTable::SetOwnTargets(std::span<const TargetRecord> targets) {
  if (std::equal(targets.begin(), targets.end(), this->self.targets.begin(),
                 this->self.targets.end(), IsEqualExceptLoad)) {
    return;
  }
  this->self.targets.assign(targets.begin(), targets.end());
  this->RaiseOwnSequence();
}

void MemberTable::SetOwnDraining() {
  if (this->self.state == MemberState::kDraining) {
    return;
  }
  this->self.state = MemberState::kDraining;
  this->RaiseOwnSequence();
}

void MemberTable::RestartAbove(std::uint64_t incarnation) {
  if (incarnation < this->self.incarnation) {
    return;
  }
  this->self.incarnation = incarnation + 1;
  this->self.sequence = 0;
  this->QueueUpdate(this->self);
}

bool MemberTable::MarkSuspect(std::string_view host) {
  const auto found = this->entries.find(host);
  if (found == this->entries.end() || found->second.record.state != MemberState::kAlive) {
    return false;
  }
  found->second.record.state = MemberState::kSuspect;
  this->QueueUpdate(found->second.record);
  return true;
}

bool MemberTable::MarkDead(std::string_view host, TimePoint now) {
  const auto found = this->entries.find(host);
  if (found == this->entries.end() || found->second.record.state == MemberState::kDead) {
    return false;
  }
  found->second.record.state = MemberState::kDead;
  found->second.dead_since = now;
  this->QueueUpdate(found->second.record);
  return true;
}

void MemberTable::Expire(TimePoint now) {
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const Entry& entry = it->second;
    if (entry.record.state == MemberState::kDead &&
        now - entry.dead_since >= this->options.dead_retention) {
      this->queue.Remove(it->first);
      it = this->entries.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<const MemberRecord*> MemberTable::ListMembers(std::string_view data_centre) const {
  std::vector<const MemberRecord*> members;
  const auto add = [&](const MemberRecord& record) {
    if (record.state != MemberState::kDead &&
        (data_centre.empty() || record.data_centre == data_centre)) {
      members.push_back(&record);
    }
  };
  add(this->self);
  for (const auto& [host, entry] : this->entries) {
    add(entry.record);
  }
  std::sort(
      members.begin(), members.end(),
      [](const MemberRecord* left, const MemberRecord* right) { return left->host < right->host; });
  return members;
}

std::vector<std::string> MemberTable::ListHosts(std::string_view data_centre) const {
  std::vector<std::string> hosts;
  for (const MemberRecord* member : this->ListMembers(data_centre)) {
    hosts.push_back(member->host);
  }
  return hosts;
}

std::size_t MemberTable::CountMembers(std::string_view data_centre) const {
  std::size_t count = data_centre == this->self.data_centre ? 1 : 0;
  for (const auto& [host, entry] : this->entries) {
    count += entry.record.state != MemberState::kDead && entry.record.data_centre == data_centre;
  }
  return count;
}

std::map<std::string, std::string> MemberTable::ListDataCentres() const {
  std::map<std::string, std::string> regions;
  for (const MemberRecord* member : this->ListMembers("")) {
    regions.emplace(member->data_centre, member->region);
  }
  return regions;
}

std::vector<MemberRecord> MemberTable::ListUpdates(std::size_t limit) const {
  std::vector<MemberRecord> records;
  for (const std::string& host : this->queue.ListNext(limit)) {
    records.push_back(*this->Find(host));
  }
  return records;
}

void MemberTable::CountTransmission(std::string_view host) {
  const double members = static_cast<double>(this->GetRecordCount()) + 1.0;
  this->queue.CountTransmission(
      host, static_cast<std::size_t>(std::ceil(kTransmissionsPerLog * std::log(members))));
}

bool MemberTable::TakeUrgent() { return std::exchange(this->urgent, false); }

}  // namespace lacewingbridge
