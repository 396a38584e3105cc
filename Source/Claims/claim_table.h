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

// Owner side of the claims: which keys have run or may be running.
//
// A key is granted when the table holds no claim for it and no previous owner can hold
// one. A table without a map, of another epoch than the caller's, or of a host that does
// not own the key refuses as not run. A process that starts with a map that names it may
// have lost claims, so it answers "outcome unknown" for every key for one claim memory;
// the exception is the first map ever, if it was created while this very process ran (see
// ClaimOwnerView::IsAddedWith). The same holds after it missed an epoch, since another
// host may have owned a key in between.
//
// A timed key (see ClaimKeyTime) is granted as new during the first of these waits when its
// time proves that nobody has granted it:
// - Keys ahead of the owner's clock by more than kMaxClockSkew are never granted. An earlier
//   process of this host therefore granted no key later than the start of this one plus
//   2 * kMaxClockSkew.
// - A previous owner of a moved key stops granting within one claim memory after the map
//   was created, so the key has to be later than that, too, by 2 * kMaxClockSkew.
// - The map has to be the newest that an earlier process may have held. This is assumed
//   kMapSettleTime after its adoption, while SetConnected says that the host reaches
//   enough others; a part of the fleet that was cut off before it restarted may hold a map
//   that no longer counts.
// The clocks of the daemons' hosts are assumed to agree within kMaxClockSkew. A map without
// a creation time counts as new. Waits for hand-overs apply to timed keys as to others.
//
// A draining daemon that was removed from the map has to end within the retention, as the
// new owners count from the map's change.
//
// A host shards its table by HashBytes(key). Every shard gets every map and every part
// of a hand-over, with only its own records in it.
class ClaimTable {
 public:
  // started_unix_ms: wall clock at the start of the process; 0 when unknown, then the time
  // of a key is used only to refuse it.
  static Result<ClaimTable> Create(std::string_view host, std::uint64_t incarnation,
                                   const ClaimLimits& limits, std::uint64_t started_unix_ms = 0);
  // Moves only: the age index points into the entries.
  ClaimTable(ClaimTable&&) = default;
  ClaimTable& operator=(ClaimTable&&) = default;
  ~ClaimTable() = default;

  // Adopts the view when its epoch is larger than the held one.
  bool AdoptMap(TimePoint now, const ClaimOwnerView& next);

  // unix_ms: the owner's wall clock.
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request);
  // Not recorded when the host does not own the key or holds no claim of that attempt;
  // the caller then asks for the current map and reports again for a few seconds.
  ClaimDoneReply Finish(TimePoint now, const ClaimDoneRequest& request);

  // Turns the running claims of a caller daemon, up to the incarnation, to outcome
  // unknown. Returns their number.
  std::size_t MarkCallerGone(TimePoint now, std::string_view caller_host,
                             std::uint64_t incarnation);
  // While isolated, new keys are refused as not run; see ClaimIsolation.
  void SetIsolated(bool value) { this->isolated = value; }
  // See ClaimIsolation::IsConnected; false until set.
  void SetConnected(bool value) { this->connected = value; }

  // Receiver side of a hand-over. A part that the table cannot take yet, or that is out
  // of order, is not accepted; a repeated part is accepted without effect.
  ClaimTransferReply AcceptTransfer(TimePoint now, const ClaimTransferRequest& request);
  void ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch);
  std::vector<ClaimWait> ListWaits(TimePoint now);

  // Sender side: claims of the keys that the view gives to the host, and whether they
  // are all that a hand-over of that epoch has to pass on.
  std::vector<ClaimRecord> CollectClaims(TimePoint now, const ClaimOwnerView& view,
                                         std::string_view to_host);
  bool IsReadyToHandOver(TimePoint now, std::uint64_t change_epoch);
  // Drops claims handed over to the host, except those of keys owned again.
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

  // Time up to which keys may have been granted before a start with this map, or nothing
  // when it is unknown.
  std::optional<std::uint64_t> FindNewKeyBound(const ClaimOwnerView& next) const;
  void Expire(TimePoint now);
  ClaimReply AnswerHeld(const ClaimRequest& request, const Entry& entry) const;
  ClaimReply GrantNew(TimePoint now, const ClaimRequest& request);
  bool HasRoomFor(const ClaimRecord& record) const;
  bool StoreRecord(TimePoint now, const ClaimRecord& record);
  void Insert(TimePoint changed, ClaimRecord record);
  void Replace(EntryMap::iterator found, TimePoint changed, ClaimRecord record);
  void Erase(EntryMap::iterator found);
  void RecordAnswer(TimePoint now, EntryMap::iterator found, const ClaimDoneRequest& request);

  std::string host;
  std::uint64_t incarnation;
  ClaimLimits limits;
  std::uint64_t started_unix_ms;
  ClaimOwnerView view;
  ClaimWaitList waits;
  ClaimAttemptSet cancelled;
  EntryMap entries;
  // Entries by the time of their last change; the views point into the keys of the map.
  std::set<std::pair<TimePoint, std::string_view>> by_age;
  std::size_t byte_count = 0;
  bool isolated = false;
  bool connected = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TABLE_H_
