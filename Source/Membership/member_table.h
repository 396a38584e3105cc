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
  // Time for which dead records are kept. Older updates are assumed to have left the gossip
  // queues of all daemons, so they cannot bring a dead member back.
  Duration dead_retention = std::chrono::minutes(10);
};

// The effect of merging a record into the table.
enum class MemberMerge {
  // The record changed nothing that has to be reported.
  kUnchanged,
  // The host was unknown, dead or had an older incarnation.
  kJoined,
  kUpdated,
  // The record was one of this host and would have overridden this host's own record. The
  // own record has a higher sequence now, so that it wins.
  kRefuted,
  // A process with a larger incarnation uses this host's name.
  kSelfSuperseded,
  // The table is full, or the record names no host.
  kRejected,
};

// The member records of all daemons as this daemon knows them. Records of a host are ordered
// by incarnation, sequence and state, and the highest wins. Therefore daemons that received
// the same records agree, whatever the order in which they received them.
class MemberTable {
 public:
  // Fails if the record lacks a host, a data centre or a control address.
  static Result<MemberTable> Create(MemberRecord self, MemberTableOptions options);

  const MemberRecord& GetSelf() const { return this->self; }
  const MemberRecord* Find(std::string_view host) const;

  MemberMerge Merge(const MemberRecord& record, TimePoint now);

  // Merges a record of a complete list, as a joining daemon receives it. The record is not
  // gossiped further: after a restart, 225 records would fill all datagrams for minutes.
  MemberMerge MergeListed(const MemberRecord& record, TimePoint now);

  // These functions change this daemon's own record. Each change raises the sequence of the
  // record and queues it for gossip. A change of only the reported loads is ignored: if 225
  // daemons gossiped their load every second, this would take far more than 4 KB/s.
  void SetOwnTargets(std::span<const TargetRecord> targets);
  void SetOwnDraining();
  // Continues under an incarnation above the given one. This is necessary after
  // kSelfSuperseded, or when a seed has a record of an earlier process of this host with a
  // larger incarnation.
  void RestartAbove(std::uint64_t incarnation);

  // Set the state of a peer as this daemon's failure detector has determined it. Return
  // whether the state changed.
  bool MarkSuspect(std::string_view host);
  bool MarkDead(std::string_view host, TimePoint now);

  // While set, a received record that declares a member of this daemon's data centre dead
  // only makes it suspect.
  void SetTreatDeadAsSuspect(bool enabled) { this->treat_dead_as_suspect = enabled; }

  // Drops dead records after dead_retention.
  void Expire(TimePoint now);

  // Hosts of the members that are not dead, including this host, ordered by name.
  std::vector<std::string> ListHosts(std::string_view data_centre) const;
  // Number of members that are not dead.
  std::size_t CountMembers(std::string_view data_centre) const;
  // Records of the members that are not dead, ordered by host; those of all data centres if
  // the name is empty. The pointers are valid until the table changes.
  std::vector<const MemberRecord*> ListMembers(std::string_view data_centre) const;
  // Region of each data centre that has members, by the name of the data centre.
  std::map<std::string, std::string> ListDataCentres() const;
  std::size_t GetRecordCount() const { return this->entries.size() + 1; }

  // Hashes of the members that are not dead, for each data centre. A suspicion does not
  // change the hash, because other data centres need not agree on it.
  std::vector<DataCentreDigest> GetDigests(bool with_buckets) const;
  // Records, including dead ones, in the buckets whose hashes differ from these digests.
  std::vector<MemberRecord> ListDiffering(std::span<const DataCentreDigest> digests) const;

  // Queued updates to add to outgoing datagrams, the least often sent ones first. The caller
  // calls CountTransmission for each update that it sends.
  std::vector<MemberRecord> ListUpdates(std::size_t limit) const;
  void CountTransmission(std::string_view host);
  std::size_t GetQueuedCount() const { return this->queue.GetSize(); }

  // Whether an update other than a suspicion was queued since the last call. The caller then
  // pushes updates immediately instead of waiting for the next probe.
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
  // Removes the record that has been dead longest. Returns false if none is dead.
  bool EvictDead();

  MemberRecord self;
  MemberTableOptions options;
  std::map<std::string, Entry, std::less<>> entries;
  MemberUpdateQueue queue;
  bool treat_dead_as_suspect = false;
  bool urgent = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_TABLE_H_
