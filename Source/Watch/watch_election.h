#ifndef LACEWINGBRIDGE_SOURCE_WATCH_WATCH_ELECTION_H_
#define LACEWINGBRIDGE_SOURCE_WATCH_WATCH_ELECTION_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "Watch/watch_backoff.h"
#include "Watch/watch_messages.h"

namespace lacewingbridge {

struct WatchElectionSettings {
  // The set of daemons that elects one watcher among its members.
  std::string scope;
  // The host of this daemon.
  std::string host;
  // Duration of the lease under which a daemon is the watcher.
  Duration lease = std::chrono::seconds(9);
  // A daemon of rank k waits k of these steps plus a jitter of up to one step before it tries to
  // get the lease.
  Duration rank_step = std::chrono::seconds(1);
  // Number of ranks that are candidates. Other hosts make no call unless they held the lease
  // before. When 225 daemons restart together, the store thus receives at most one read of a scope
  // for each of these ranks.
  std::size_t max_candidates = 8;
  // Shortest time between two reads of the key by the first standby while the holder is suspected
  // of not watching the store. Without a suspicion the first standby makes no call.
  Duration holder_check_interval = std::chrono::seconds(60);
  Duration longest_backoff = std::chrono::seconds(30);
};

// State machine that decides whether this daemon watches the store for its scope. The watcher holds
// a lease at the store, and a key of the store names the holder. The live hosts of the scope are
// ranked by hash; hosts of a lower rank try first. It makes no calls itself: Handle returns the
// next call, and the caller performs it. At most one store call is outstanding at a time. Not
// synchronized.
class WatchElection {
 public:
  // The wait by rank for the first attempt starts at `now`.
  WatchElection(WatchElectionSettings initial_settings, TimePoint now, std::mt19937_64& random);

  WatchDecision Handle(const WatchEvent& event, TimePoint now, std::mt19937_64& random);

  // Whether this daemon may act as the watcher at this time. It may not once the lease can have
  // expired, even if no reply of the store has reported that.
  bool IsActing(TimePoint now) const;

  // Returns the holder that the store last reported; empty before the first read and when no daemon
  // held the lease.
  const std::optional<WatchHolder>& GetHolder() const { return this->holder; }

 private:
  enum class State { kWaiting, kReading, kGranting, kSwapping, kHolding, kRenewing, kStandby };

  WatchCall Apply(const WatchTimePassed& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchMembersChanged& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchHolderSuspected& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchKeyRead& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchLeaseReplied& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchKeySwapped& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchCallFailed& event, TimePoint now, std::mt19937_64& random);

  WatchCall RenewLease();
  void StartHolding();
  // Starts the wait by rank for the next attempt to get the lease.
  void StartWaiting(TimePoint now, std::mt19937_64& random);
  // Stops attempts to get the lease, because a live host holds it.
  void StartStandby(TimePoint now);
  // Goes to standby if the holder is live. Otherwise retries after a third of the lease until the
  // lease of the dead holder has expired.
  void YieldToHolder(TimePoint now, std::mt19937_64& random);
  void RetryAfter(Duration wait, TimePoint now);
  void UpdateRanks(std::span<const WatchMember> live);
  // Schedules a read of the key at this time plus a jitter. Only the first standby performs it.
  void ScheduleKeyRead(TimePoint time, std::mt19937_64& random);
  bool IsCandidate() const;
  // Returns the end of the wait by rank.
  TimePoint GetRankTime() const;
  // Whether the last known holder is another host that is live.
  bool IsHolderLive() const;
  // Whether this host has the lowest rank of all hosts but the holder.
  bool IsFirstStandby() const;
  // Returns the time at which this daemon must stop acting under its last granted lease.
  TimePoint GetActingLimit() const;
  TimePoint GetWakeTime() const;

  WatchElectionSettings settings;
  WatchBackoff backoff;
  State state = State::kWaiting;
  // Live hosts in the order of their rank, including this host. Empty until the first
  // WatchMembersChanged; no call is made before that.
  std::vector<std::string> ranking;
  std::size_t rank = 0;
  std::map<std::string, std::uint64_t> incarnations;
  std::optional<WatchHolder> holder;
  std::uint64_t key_revision = 0;
  std::uint64_t lease_id = 0;
  // When the last granted lease request was sent. The lease cannot have started earlier.
  TimePoint lease_sent_at;
  TimePoint call_sent_at;
  // Whether the store has confirmed that the key names this host and its lease.
  bool owns_key = false;
  // Whether this daemon has held the lease and has not read another live holder since. Such a
  // daemon is a candidate at any rank, because the others may still consider it the holder.
  bool was_holder = false;
  // Start of the wait by rank, its jitter, and the earliest time of a retry after a failure.
  TimePoint wait_started_at;
  Duration jitter{};
  TimePoint retry_at;
  TimePoint renew_at;
  // In standby: its start, and the time of the next read of the key (TimePoint::max() if none).
  TimePoint standby_since;
  TimePoint key_read_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_ELECTION_H_
