#ifndef LACEWINGBRIDGE_SOURCE_WATCH_WATCH_MESSAGES_H_
#define LACEWINGBRIDGE_SOURCE_WATCH_WATCH_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>

#include "Core/time_point.h"
#include "store.h"

namespace lacewingbridge {

// A live daemon of the scope; the fields have the values of its MemberRecord.
struct WatchMember {
  std::string host;
  std::uint64_t incarnation = 0;
};

// Inputs of WatchElection. The caller reports the end of each store call by exactly one of them.
// Once it has reported a call as failed, it drops a late reply to that call.
struct WatchTimePassed {};
// The live members of the scope have changed. The list need not contain this host.
struct WatchMembersChanged {
  std::span<const WatchMember> live;
};
// The holder may not be watching the store: versions reach this daemon from other scopes but not
// from the holder of its own scope. This happens, for example, if the holder is alive but cannot
// reach the store.
struct WatchHolderSuspected {};
struct WatchKeyRead {
  std::optional<WatchHolder> holder;
  std::uint64_t revision = 0;
};
// Reply to WatchGrantLease and WatchRenewLease.
struct WatchLeaseReplied {
  bool granted = false;
  std::uint64_t lease_id = 0;
};
struct WatchKeySwapped {
  bool succeeded = false;
  // The holder that the key names after the call.
  std::optional<WatchHolder> holder;
};
struct WatchCallFailed {};

using WatchEvent = std::variant<WatchTimePassed, WatchMembersChanged, WatchHolderSuspected,
                                WatchKeyRead, WatchLeaseReplied, WatchKeySwapped, WatchCallFailed>;

// Store calls of WatchElection.
struct WatchNoCall {};
struct WatchReadKey {};
struct WatchGrantLease {
  Duration duration{};
};
// Extends the lease.
struct WatchRenewLease {
  std::uint64_t lease_id = 0;
  Duration duration{};
};
// Writes the holder to the key if the key still has the expected revision. The store removes the
// key when the lease of the holder ends.
struct WatchSwapKey {
  WatchHolder holder;
  std::uint64_t expected_revision = 0;
};

using WatchCall =
    std::variant<WatchNoCall, WatchReadKey, WatchGrantLease, WatchRenewLease, WatchSwapKey>;

// What the caller does next.
struct WatchDecision {
  WatchCall call;
  // Pass WatchTimePassed at this time unless another input comes first.
  TimePoint wake_at;
  // Whether this daemon watches the head, which it may do until acting_until. The caller compares
  // acting_until with its clock before it acts on a reply, because its process may have been
  // paused.
  bool acting = false;
  TimePoint acting_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_MESSAGES_H_
