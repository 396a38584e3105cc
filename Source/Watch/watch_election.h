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
  std::string scope;
  std::string host;
  Duration lease = std::chrono::seconds(9);
  // Rank k waits k steps plus a jitter of up to one step.
  Duration rank_step = std::chrono::seconds(1);
  // Hosts of this or a higher rank make no call unless they held the lease before. 225 daemons that
  // restart together then cost a scope at most one read for each of these ranks.
  std::size_t max_candidates = 8;
  // The first candidate without the lease reads the key when the holder is doubted, but
  // not more often than this. At rest it makes no call.
  Duration doubt_interval = std::chrono::seconds(60);
  Duration longest_backoff = std::chrono::seconds(30);
};

// Decides whether this daemon watches the store for its scope. At most one store call
// is outstanding at a time.
class WatchElection {
 public:
  // The wait for the first attempt starts now.
  WatchElection(WatchElectionSettings initial_settings, TimePoint now, std::mt19937_64& random);

  WatchDecision Handle(const WatchEvent& event, TimePoint now, std::mt19937_64& random);

  // Whether this daemon may act as the watcher. It may not once the lease can have
  // lapsed by the time given, even when no reply said so.
  bool IsActing(TimePoint now) const;

  // The holder as last read; empty before the first read.
  const std::optional<WatchHolder>& GetHolder() const { return this->holder; }

 private:
  enum class State { kWaiting, kReading, kGranting, kSwapping, kHolding, kRenewing, kStandby };

  WatchCall Apply(const WatchTimePassed& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchMembersChanged& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchHolderDoubted& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchKeyRead& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchLeaseReplied& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchKeySwapped& event, TimePoint now, std::mt19937_64& random);
  WatchCall Apply(const WatchCallFailed& event, TimePoint now, std::mt19937_64& random);

  WatchCall KeepLease();
  void StartHolding();
  void StartWaiting(TimePoint now, std::mt19937_64& random);
  void StartStandby(TimePoint now);
  // Waits for a live holder's report, or retries while a dead holder's lease runs.
  void YieldToHolder(TimePoint now, std::mt19937_64& random);
  void RetryAfter(Duration wait, TimePoint now);
  void UpdateRanks(std::span<const WatchMember> live);
  // Reads the key at that time if this daemon is the first standby.
  void CheckAt(TimePoint time, std::mt19937_64& random);
  bool IsCandidate() const;
  // End of the wait by rank.
  TimePoint GetRankTime() const;
  bool IsHolderLive() const;
  bool IsFirstStandby() const;
  // When this daemon must stop acting under its last granted lease.
  TimePoint GetActingLimit() const;
  TimePoint GetWakeTime() const;

  WatchElectionSettings settings;
  WatchBackoff backoff;
  State state = State::kWaiting;
  // Live hosts in the order of their rank, this host included; empty until the first
  // WatchMembersChanged, and no call is made before it.
  std::vector<std::string> ranking;
  std::size_t rank = 0;
  std::map<std::string, std::uint64_t> incarnations;
  std::optional<WatchHolder> holder;
  std::uint64_t key_revision = 0;
  std::uint64_t lease_id = 0;
  // When the last granted lease request was sent; its term cannot begin earlier.
  TimePoint lease_sent_at;
  TimePoint call_sent_at;
  // Whether the store confirmed that the key names this host and lease.
  bool owns_key = false;
  // A former holder of any rank stays a candidate until it sees a live holder, because
  // the others may still take it for the holder.
  bool was_holder = false;
  // Start of the wait by rank, its jitter, and the earliest retry after a failure.
  TimePoint wait_started_at;
  Duration jitter{};
  TimePoint retry_at;
  TimePoint renew_at;
  // On standby: start of the standby, and when the key is read if at all.
  TimePoint standby_since;
  TimePoint check_at;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_WATCH_ELECTION_H_
