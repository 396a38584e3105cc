#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/result.h"
#include "Core/time_point.h"
#include "Membership/member_update_queue.h"
#include "membership.h"
#include "peer.h"

namespace lacewingbridge {

struct MemberTableOptions {
  // Four times the 900 daemons of the target fleet, plus dead records.
  std::size_t max_records = 4096;
  // News older than this is assumed to be gone from every queue.
  Duration dead_retention = std::chrono::minutes(10);
};

enum class MemberMerge {
  // Nothing new.
  kUnchanged,
  // The host was unknown, dead or had an older incarnation.
  kJoined,
  kUpdated,
  // The news was about this host; its own record now overrides it.
  kRefuted,
  // A process with a larger incarnation uses this host's name.
  kSelfSuperseded,
  // The table is full, or the record names no host.
  kRejected,
};

// What this daemon knows about all daemons. Records are ordered by incarnation,
// sequence and state, so daemons that heard the same news agree in any order.
class MemberTable {
 public:
  static Result<MemberTable> Create(MemberRecord self, MemberTableOptions options);

  const MemberRecord& GetSelf() const { return this->self; }
  const MemberRecord* Find(std::string_view host) const;

  MemberMerge Merge(const MemberRecord& record, TimePoint now);

  // Merges a record of a complete list, as a joining daemon gets it. It is not gossiped
  // on: after a restart, 225 records would fill all datagrams for minutes.
  MemberMerge MergeListed(const MemberRecord& record, TimePoint now);

  // Changes of the own record; each raises its sequence and is queued for gossip.
  // A change of nothing but reported loads is not announced: 225 daemons that gossip
  // their load every second need far more than 4 KB/s.
  void SetOwnTargets(std::span<const TargetRecord> targets);
  void SetOwnDraining();
  // Continues under an incarnation above the given one, after kSelfSuperseded or when
  // a seed remembers an earlier process of this host with a larger incarnation.
  void RestartAbove(std::uint64_t incarnation);

  // Records what this daemon found out about a peer; false if there is nothing to change.
  bool MarkSuspect(std::string_view host);
  bool MarkDead(std::string_view host, TimePoint now);

  // While set, news that a member of the own data centre is dead only makes it suspect.
  void SetKeepMembers(bool keep) { this->keep_members = keep; }

  // Drops dead records past their retention.
  void Expire(TimePoint now);

  // Members that are not dead, this host included, ordered by name.
  std::vector<std::string> ListHosts(std::string_view data_centre) const;
  std::size_t CountMembers(std::string_view data_centre) const;
  // The same as records; all data centres when the name is empty.
  std::vector<const MemberRecord*> ListMembers(std::string_view data_centre) const;
  // Data centres with members, ordered by name, with their region.
  std::map<std::string, std::string> ListDataCentres() const;
  std::size_t GetRecordCount() const { return this->entries.size() + 1; }

  // Hashes of the live members of every data centre. Suspicion is not part of a hash,
  // because other data centres need not agree on it.
  std::vector<DataCentreDigest> GetDigests(bool with_buckets) const;
  // Records, dead ones included, in the buckets whose hashes differ.
  std::vector<MemberRecord> ListDiffering(std::span<const DataCentreDigest> digests) const;

  // Updates to piggyback. The caller reports those that it sent.
  std::vector<MemberRecord> ListUpdates(std::size_t limit) const;
  void CountTransmission(std::string_view host);
  std::size_t GetQueuedCount() const { return this->queue.GetSize(); }

  // True once after news other than suspicion; the caller then pushes updates at once
  // instead of waiting for the next probe.
  bool TakeUrgent();

 private:
  struct Entry {
    MemberRecord record;
    TimePoint dead_since;
  };

  MemberTable(MemberRecord own_record, MemberTableOptions table_options);
  MemberMerge MergeSelf(const MemberRecord& record);
  MemberMerge MergeKnown(Entry& entry, const MemberRecord& record, TimePoint now);
  MemberMerge Insert(const MemberRecord& record, TimePoint now);
  void RaiseOwnSequence();
  void QueueUpdate(const MemberRecord& record);
  bool EvictDead();

  MemberRecord self;
  MemberTableOptions options;
  std::map<std::string, Entry, std::less<>> entries;
  MemberUpdateQueue queue;
  bool keep_members = false;
  bool urgent = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
