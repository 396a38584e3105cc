#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TABLE_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Claims/claim_attempt_set.h"
#include "Claims/claim_limits.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_wait_list.h"
#include "Core/result.h"
#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// Owner side of the claims: records which keys have run or may be running. Not safe for
// concurrent use; ClaimShards puts each table under a lock. All times and clocks are
// parameters.
//
// A key is granted when the table holds no claim for it and no previous owner can hold one.
// The table refuses a claim as not run when it has no map, when its map has another epoch
// than the caller's, or when its host does not own the key. A process that starts with a map
// that names its host may have lost claims, so it replies "outcome unknown" for every key for
// one claim lifetime. The exception is the very first map, if it was created while this
// process was running (see ClaimOwnerView::WasAddedWithIncarnation). The same wait applies after
// the process missed an epoch, since another host may have owned a key in between.
//
// A timed key (see ClaimKeyTime) is granted as new during the wait after a start when its
// time proves that no process has granted it:
// - Keys ahead of the owner's clock by more than kMaxClockSkew are never granted. An earlier
//   process of this host therefore granted no key later than the start of this one plus
//   2 * kMaxClockSkew.
// - A previous owner of a moved key stops granting within one claim lifetime after the map was
//   created. The key therefore also has to be later than that by 2 * kMaxClockSkew.
// - The map has to be the newest that an earlier process may have held. This is assumed
//   kMapSettleTime after its adoption, while SetConnected reports that the host reaches
//   enough others. A part of the fleet that was partitioned before it restarted may hold a
//   map that is no longer in force.
// The clocks of the daemons' hosts are assumed to agree within kMaxClockSkew. A map without
// a creation time counts as new. Waits for handovers apply to timed keys as to others.
//
// A draining daemon that was removed from the map has to exit within the retention, because
// the new owners count their wait from the change of the map.
//
// A host shards its table by HashBytes(key). Every shard gets every map and every part of a
// handover, the latter with only the records of the shard.
class ClaimTable {
 public:
  // started_unix_ms: wall clock at the start of the process; 0 when unknown. Without it, the
  // time of a key is used only to refuse the key. Fails when the host name is empty, or when
  // the key capacity or the retention is not above 0.
  static Result<ClaimTable> Create(std::string_view host, std::uint64_t incarnation,
                                   const ClaimLimits& limits, std::uint64_t started_unix_ms = 0);
  // Move-only, because by_age points into the entries.
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;
  ~ClaimTable() = default;

  // Adopts the map if its epoch is larger than that of the held one. Returns whether it did.
  bool AdoptMap(TimePoint now, const ClaimOwnerView& next);

  // Decides on a claim call. A retried call of the attempt that holds the grant is granted
  // again. unix_ms is this host's wall clock.
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request);
  // Records the report of an attempt. The reply has recorded set to false when this host does
  // not own the key or holds no claim of that attempt. The caller then gets the current map
  // and retries the report for a few seconds.
  ClaimDoneReply Finish(TimePoint now, const ClaimDoneRequest& request);

  // Marks the running claims of a caller daemon that has stopped as outcome unknown, for all
  // incarnations up to the given one. Returns their number.
  std::size_t MarkCallerGone(TimePoint now, std::string_view caller_host,
                             std::uint64_t incarnation);
  // While isolated, new keys are refused as not run; see ClaimIsolation.
  void SetIsolated(bool value) { this->isolated = value; }
  // See ClaimIsolation::IsConnected; false until set.
  void SetConnected(bool value) { this->connected = value; }

  // Receiver side of a handover. A part is not accepted when the table has an older map, does
  // not know the sender, has no capacity for the records, or expects an earlier part. A
  // repeated part is accepted without effect.
  ClaimTransferReply AcceptTransfer(TimePoint now, const ClaimTransferRequest& request);
  // See ClaimWaitList::ConfirmEpoch.
  void ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch);
  // Returns the handovers that the table waits for.
  std::vector<ClaimWait> ListWaits(TimePoint now);

  // Sender side of a handover. Returns the claims of the keys that the view assigns to the
  // host.
  std::vector<ClaimRecord> CollectClaims(TimePoint now, const ClaimOwnerView& view,
                                         std::string_view to_host);
  // Whether the table holds all claims that a handover of that epoch has to include.
  bool IsReadyToHandOver(TimePoint now, std::uint64_t change_epoch);
  // Removes the claims that were handed over to the host, except those of keys that this host
  // owns again.
  void ForgetClaims(const ClaimOwnerView& view, std::string_view to_host);

  std::uint64_t GetEpoch() const { return this->view.GetEpoch(); }
  std::size_t GetKeyCount() const { return this->entries.size(); }
  std::size_t GetByteCount() const { return this->byte_count; }

 private:
  struct Entry {
    ClaimRecord record;
    TimePoint changed;
  };
  using EntryMap = std::unordered_map<std::string, Entry>;

  ClaimTable(std::string_view own_host, std::uint64_t own_incarnation,
             const ClaimLimits& table_limits, std::uint64_t own_start_unix_ms);

  // Returns the latest time, in Unix milliseconds, of keys that may have been granted before
  // a start with this map, or nothing when it is unknown.
  std::optional<std::uint64_t> FindNewKeyBound(const ClaimOwnerView& next) const;
  // Removes claims and waits whose time has passed.
  void Expire(TimePoint now);
  // Decides on a claim call for a key that has a claim.
  ClaimReply ReplyFromEntry(const ClaimRequest& request, const Entry& entry) const;
  ClaimReply GrantNew(TimePoint now, const ClaimRequest& request);
  bool HasCapacityFor(const ClaimRecord& record) const;
  // Stores a record of a handover. Ignores a record that is invalid, that is of a cancelled
  // attempt, or whose key is already held as done. Returns false when there is no capacity
  // for the record even without its response body.
  bool StoreRecord(TimePoint now, const ClaimRecord& record);
  void Insert(TimePoint changed, ClaimRecord record);
  void Replace(EntryMap::iterator found, TimePoint changed, ClaimRecord record);
  void Erase(EntryMap::iterator found);
  void RecordResponse(TimePoint now, EntryMap::iterator found, const ClaimDoneRequest& request);

  std::string host;
  std::uint64_t incarnation;
  ClaimLimits limits;
  std::uint64_t started_unix_ms;
  ClaimOwnerView view;
  ClaimWaitList waits;
  ClaimAttemptSet cancelled_attempts;
  EntryMap entries;
  // Entries by the time of their last change. The views point into the keys of entries.
  std::set<std::pair<TimePoint, std::string_view>> by_age;
  std::size_t byte_count = 0;
  bool isolated = false;
  bool connected = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TABLE_H_
