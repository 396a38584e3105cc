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

// A handover that a new owner waits for: the host that sends it and the epoch of the map
// whose change moved the keys.
struct ClaimWait {
  std::string host;
  std::uint64_t change_epoch = 0;

  bool operator==(const ClaimWait&) const = default;
};

// Determines which keys an owner must not grant yet, because a previous owner may have
// granted them. Not safe for concurrent use.
//
// A key that the owner gains by a map change is blocked until the handover from its previous
// owner is complete. Without a handover, the key is released one claim lifetime after the
// time from which the previous owner certainly grants it no more: half a claim lifetime after
// the previous owner was removed from the map (see GetRemovedWait), or when it confirmed that
// it holds the map that moved the key. A previous owner that is partitioned but still in the map
// therefore blocks the moved keys until it is reachable again. If the time were counted from the
// adoption of the map by the new owner instead, both hosts could grant a key.
class ClaimWaitList {
 public:
  ClaimWaitList(std::string_view own_host, Duration lifetime)
      : host(own_host), claim_lifetime(lifetime) {}

  // Blocks the keys that this host gains by the change between two consecutive maps.
  void AddChange(TimePoint now, const ClaimOwnerView& before, const ClaimOwnerView& after);

  // Call with each map that was adopted. Starts the release time of the waits for hosts that
  // the map no longer names.
  void OnMapAdopted(TimePoint now, const ClaimOwnerView& view);

  // Blocks every key for one claim lifetime, for use when the previous owners are unknown. If
  // a bound is given, in Unix milliseconds, keys whose time is later than the bound are
  // blocked only for kMapSettleTime.
  void BlockAll(TimePoint now, std::uint64_t epoch,
                std::optional<std::uint64_t> new_key_bound_unix_ms = {});

  // Call when the host has confirmed that it holds the map of this epoch or a newer one.
  void ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch);

  // Removes the waits whose time has passed.
  void Expire(TimePoint now);

  // key_unix_ms: the key's time, or nothing when the key has none or its time must not be
  // used.
  bool IsBlocked(TimePoint now, std::string_view key,
                 std::optional<std::uint64_t> key_unix_ms) const;
  // Whether a wait of an earlier epoch is open. A handover of the given epoch then cannot
  // start yet, because it has to include the claims that are still to be received.
  bool HasWaitBefore(std::uint64_t epoch) const;
  // Returns the handovers that are not complete.
  std::vector<ClaimWait> ListWaits() const;

  // Returns the index of the part that is expected next, or nothing when no such handover is
  // known. A complete handover is kept for one claim lifetime, so that its parts are accepted
  // again when the reply to them was lost.
  std::optional<std::uint32_t> GetNextPart(const ClaimWait& wait) const;
  // Whether the key belonged to the host before the change.
  bool IsFromOwner(const ClaimWait& wait, std::string_view key) const;
  bool IsComplete(const ClaimWait& wait) const;
  // Call after the expected part was stored. complete: it was the last one, which ends the
  // wait.
  void RecordPart(TimePoint now, const ClaimWait& wait, bool complete);

 private:
  struct HostWait {
    std::uint32_t next_part = 0;
    // When the wait ends without a handover; for a complete handover, when it is removed.
    std::optional<TimePoint> release_at;
    bool complete = false;
  };
  // The waits of one change of the owner map.
  struct Change {
    // The map before the change, which names the previous owners.
    ClaimOwnerView before;
    // The previous owners that hand over keys.
    std::map<std::string, HostWait, std::less<>> hosts;
    // Every key is blocked until then.
    std::optional<TimePoint> all_blocked_until;
    // No earlier process can have granted a key whose time is later than this.
    std::optional<std::uint64_t> new_key_bound_unix_ms;
    // Before then a newer map may exist, so new_key_bound_unix_ms is not used.
    TimePoint settled_at;

    bool IsOpen() const;
    bool IsNewKey(TimePoint now, std::optional<std::uint64_t> key_unix_ms) const;
    bool IsBlocked(TimePoint now, std::string_view key,
                   std::optional<std::uint64_t> key_unix_ms) const;
  };

  const HostWait* FindWait(const ClaimWait& wait) const;

  // Wait for a host that was removed from the map. If the host is partitioned, it goes on
  // granting keys under the old map until it detects that it is isolated, which takes at most
  // half of the claim lifetime. Its last claim is valid for a whole claim lifetime after that.
  Duration GetRemovedWait() const { return this->claim_lifetime + this->claim_lifetime / 2; }

  std::string host;
  Duration claim_lifetime;
  // By the epoch of the map that was adopted.
  std::map<std::uint64_t, Change> changes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_WAIT_LIST_H_
