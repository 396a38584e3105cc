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

// A live daemon of the scope, as MemberRecord names it.
struct WatchMember {
  std::string host;
  std::uint64_t incarnation = 0;
};

// Inputs of WatchElection. Every store call ends in exactly one of them: once a call is
// reported as failed, a late reply to it is dropped.
struct WatchTimePassed {};
// Live members of the scope; this host may be missing.
struct WatchMembersChanged {
  std::span<const WatchMember> live;
};
// Versions reach this daemon from other scopes but not from its own holder, for example
// because a holder that its peers see alive cannot reach the store.
struct WatchHolderDoubted {};
struct WatchKeyRead {
  std::optional<WatchHolder> holder;
  std::uint64_t revision = 0;
};
// Answers both a grant and a keep-alive.
struct WatchLeaseReplied {
  bool granted = false;
  std::uint64_t lease_id = 0;
};
struct WatchKeySwapped {
  bool succeeded = false;
  // The holder after the call.
  std::optional<WatchHolder> holder;
};
struct WatchCallFailed {};

using WatchEvent = std::variant<WatchTimePassed, WatchMembersChanged, WatchHolderDoubted,
                                WatchKeyRead, WatchLeaseReplied, WatchKeySwapped, WatchCallFailed>;

// Store calls of WatchElection.
struct WatchNoCall {};
struct WatchReadKey {};
struct WatchGrantLease {
  Duration duration{};
};
struct WatchKeepLease {
  std::uint64_t lease_id = 0;
  Duration duration{};
};
// Writes the holder under its lease.
struct WatchSwapKey {
  WatchHolder holder;
  std::uint64_t expected_revision = 0;
};

using WatchCall =
    std::variant<WatchNoCall, WatchReadKey, WatchGrantLease, WatchKeepLease, WatchSwapKey>;

// What the front end does next.
struct WatchDecision {
  WatchCall call;
  // Hand in WatchTimePassed at this time if no other input came first.
  TimePoint wake_at;
  // Watch the head until acting_until. The front end compares acting_until with its
  // clock before it acts on a reply, because it may have been paused.
  bool acting = false;
  TimePoint acting_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_MESSAGES_H_
