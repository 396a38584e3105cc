#ifndef LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_
#define LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/time_point.h"
#include "membership.h"

namespace lacewingbridge {

struct QuarantineLimits {
  // Distinct targets that a request may crash.
  std::size_t strike_limit = 2;
  Duration quarantine = std::chrono::minutes(10);
  // Time between a lost connection and the proof that the target died. A target that
  // restarts within it shows a new incarnation; one that does not refuses connections.
  Duration proof_window = std::chrono::seconds(5);
  std::size_t entry_capacity = 4096;
  // Lost connections that wait for proof.
  std::size_t suspicion_capacity = 4096;
  // Datagrams into which a daemon puts each strike that is new to it.
  std::uint32_t spread_count = 6;
};

enum class QuarantineDecision {
  kRun,
  // Another struck request runs on the target, or this one runs elsewhere: try another
  // target or wait.
  kWait,
  // Refuse as not run; the request crashed too many targets.
  kQuarantined,
};

// Fingerprint of a request: the route and a hash of its key. A request without a key is
// identified by its path, query and body; with the body alone, all lookups of a route
// would share one fingerprint.
std::uint64_t ComputeFingerprint(std::string_view route, std::string_view content);

// Strikes of requests that were in flight on targets which died.
//
// A lost connection alone is no strike: every request that was lost on a target gets one
// when the target proves dead, that is, refuses a connection or shows a new incarnation
// within proof_window. Until then a lost request counts as struck for the decision where
// it may start, so a resend that comes before the proof is held to the same limit.
//
// A struck request never starts beside another struck request, and on one target at a time
// until one of its runs was answered: several copies of a crashing request could otherwise
// take down as many targets at once, while a frequent innocent one has to wait for a single
// answer only.
//
// A daemon shards its table by service: a fingerprint contains the route, and a target
// belongs to one service.
class QuarantineTable {
 public:
  explicit QuarantineTable(const QuarantineLimits& table_limits) : limits(table_limits) {}
  // Moves only: entries hold iterators of the order.
  QuarantineTable(QuarantineTable&&) = default;
  QuarantineTable& operator=(QuarantineTable&&) = default;
  ~QuarantineTable() = default;

  // kRun is followed by Start without giving up the lock of the shard.
  QuarantineDecision MayStart(TimePoint now, std::uint64_t fingerprint, std::string_view target);
  void Start(std::uint64_t fingerprint, std::string_view target);
  // answered: the target sent a complete answer.
  void Finish(std::uint64_t fingerprint, std::string_view target, bool answered);

  // The connection was lost mid-request on the target of that incarnation. Followed by
  // Finish, and by an attempt to connect again, which provides the proof in time.
  void NoteLost(TimePoint now, std::uint64_t fingerprint, std::string_view target,
                std::uint64_t incarnation);
  // Proof that the target died; both return the number of requests that are quarantined
  // by it.
  std::size_t NoteRefused(TimePoint now, std::string_view target);
  std::size_t NoteIncarnation(TimePoint now, std::string_view target, std::uint64_t incarnation);

  // Strikes from other daemons. Returns the number of requests that are quarantined by it.
  std::size_t MergeStrikes(TimePoint now, std::span<const QuarantineStrike> strikes);
  // At most this many strikes to put into the next datagram, newest first.
  std::vector<QuarantineStrike> TakeStrikes(std::size_t max_count);

  bool IsQuarantined(TimePoint now, std::uint64_t fingerprint);
  // The strikes of one request, to be told to whoever may run it next.
  std::vector<QuarantineStrike> ListStrikes(std::uint64_t fingerprint) const;
  std::size_t GetEntryCount() const { return this->entries.size(); }
  std::size_t GetSuspicionCount() const { return this->suspicions.size(); }
  std::size_t GetOutstandingCount() const { return this->outgoing.size(); }

 private:
  struct Entry {
    // At most strike_limit strikes, distinct by target and incarnation.
    std::vector<QuarantineStrike> strikes;
    TimePoint last_strike;
    // A run was answered since the last strike.
    bool answered = false;
    std::list<std::uint64_t>::iterator order;
  };
  struct Suspicion {
    TimePoint since;
    QuarantineStrike strike;
  };
  struct Outgoing {
    QuarantineStrike strike;
    std::uint32_t sends_left = 0;
  };
  using EntryMap = std::unordered_map<std::uint64_t, Entry>;
  template <typename Selector>
  std::size_t ConfirmSuspicions(TimePoint now, Selector&& select);

  void Expire(TimePoint now);
  // Returns whether the request becomes quarantined by the strike.
  bool AddStrike(TimePoint now, const QuarantineStrike& strike);
  EntryMap::iterator TouchEntry(std::uint64_t fingerprint);
  void EraseEntry(EntryMap::iterator found);
  void QueueStrike(const QuarantineStrike& strike);
  // Strikes and unproved losses of the request, by distinct target and incarnation.
  std::size_t CountStrikes(std::uint64_t fingerprint) const;
  bool IsAnswered(std::uint64_t fingerprint) const;
  bool IsOtherStruckRunning(std::uint64_t fingerprint, std::string_view target) const;

  QuarantineLimits limits;
  EntryMap entries;
  // Least recently struck first.
  std::list<std::uint64_t> order;
  std::deque<Suspicion> suspicions;
  std::deque<Outgoing> outgoing;
  // Running requests by target, and the number of targets on which each one runs.
  std::map<std::string, std::map<std::uint64_t, std::uint32_t>, std::less<>> running;
  std::unordered_map<std::uint64_t, std::uint32_t> running_counts;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_
