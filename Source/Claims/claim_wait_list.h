#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_WAIT_LIST_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_WAIT_LIST_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// A hand-over that a new owner still expects.
struct ClaimWait {
  std::string host;
  std::uint64_t change_epoch = 0;

  bool operator==(const ClaimWait&) const = default;
};

// Keys that an owner may not grant yet, because a previous owner may have granted them.
//
// A key gained by a map change is blocked until its previous owner's hand-over is
// complete. Without a hand-over it is released one claim memory after the moment from
// which the previous owner surely grants no more: when it was removed from the map, or
// when it was heard to hold the map that moved the key. A previous owner that is cut off
// and still in the map therefore blocks its moved keys until it is heard again; counting
// from the own adoption would let both hosts grant a key.
class ClaimWaitList {
 public:
  ClaimWaitList(std::string_view own_host, Duration memory)
      : host(own_host), claim_memory(memory) {}

  // Blocks the keys that the host gains by the change between two consecutive maps.
  void AddChange(TimePoint now, const ClaimOwnerView& before, const ClaimOwnerView& after);

  // Starts the release of waits for hosts that the adopted map no longer names.
  void NoteMap(TimePoint now, const ClaimOwnerView& view);

  // Blocks every key for one claim memory: previous owners are unknown. With a bound, keys
  // whose time is later than it are blocked only until the map has settled.
  void BlockAll(TimePoint now, std::uint64_t epoch,
                std::optional<std::uint64_t> new_key_bound_unix_ms = {});

  // The host was heard to hold this epoch.
  void ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch);

  void Expire(TimePoint now);

  // key_unix_ms: the key's time, or nothing when it has none or it is not to be used.
  bool IsBlocked(TimePoint now, std::string_view key,
                 std::optional<std::uint64_t> key_unix_ms) const;
  // Whether a wait older than the epoch is open; a hand-over of that epoch then is not
  // complete yet, as it has to pass on what is still to come.
  bool HasWaitBefore(std::uint64_t epoch) const;
  std::vector<ClaimWait> ListWaits() const;

  // Part expected next from the host, or nothing when none is known. A complete hand-over
  // is remembered for one claim memory, so that its parts are accepted again when the
  // answer to them was lost.
  std::optional<std::uint32_t> GetNextPart(const ClaimWait& wait) const;
  // Whether the key belonged to the host before the change.
  bool IsFromOwner(const ClaimWait& wait, std::string_view key) const;
  bool IsComplete(const ClaimWait& wait) const;
  // The expected part was stored; complete ends the wait.
  void NotePart(TimePoint now, const ClaimWait& wait, bool complete);

 private:
  struct HostWait {
    std::uint32_t next_part = 0;
    std::optional<TimePoint> release_at;
    bool complete = false;
  };
  struct Change {
    ClaimOwnerView before;
    std::map<std::string, HostWait, std::less<>> hosts;
    std::optional<TimePoint> all_until;
    // No earlier process can have granted a key whose time is later.
    std::optional<std::uint64_t> new_key_bound_unix_ms;
    TimePoint settled_at;

    bool IsOpen() const;
    bool IsNewKey(TimePoint now, std::optional<std::uint64_t> key_unix_ms) const;
    bool IsBlocked(TimePoint now, std::string_view key,
                   std::optional<std::uint64_t> key_unix_ms) const;
  };

  const HostWait* FindWait(const ClaimWait& wait) const;

  // A host that was removed while cut off grants on under the old map until it knows that
  // it is isolated, at most half of the claim memory; its last claim is kept a whole one.
  Duration GetRemovedWait() const { return this->claim_memory + this->claim_memory / 2; }

  std::string host;
  Duration claim_memory;
  std::map<std::uint64_t, Change> changes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_WAIT_LIST_H_
