#ifndef LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_
#define LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "Core/time_point.h"
#include "Quarantine/response_memory.h"
#include "membership.h"

namespace lacewingbridge {

// Limits of a QuarantineTable.
struct QuarantineLimits {
  // Number of strikes, each for another target or incarnation, after which a request is
  // quarantined.
  std::size_t strike_limit = 2;
  // Time after its last strike for which the strikes of a request are kept, and for which it stays
  // quarantined.
  Duration quarantine = std::chrono::minutes(10);
  // Longest time between a lost connection and the proof that the target died. A target that has
  // restarted within this time reports a new incarnation. One that has not refuses connections.
  Duration proof_window = std::chrono::seconds(5);
  // Time after a response to a request in which a crash is not held against it. It covers crashes
  // of several targets in the same moment, in which no run of a frequent request may succeed.
  Duration response_validity = std::chrono::seconds(5);
  // Limit on the number of requests with strikes. The least recently struck one is removed first.
  std::size_t entry_capacity = 4096;
  // Limit on the number of lost requests that wait for the proof. The oldest one is removed first.
  std::size_t suspicion_capacity = 4096;
  // Number of messages in which a daemon sends each strike or response that is new to it.
  std::uint32_t sends_per_evidence = 6;
};

// Whether a request may start on a target.
enum class QuarantineDecision {
  // The request may start now.
  kRun,
  // The request must not start on this target now: another struck request runs there, this request
  // runs on some target, or lost connections that are not proved yet bring it to the limit. The
  // caller tries another target or waits.
  kWait,
  // The request crashed too many targets and is refused as not run.
  kQuarantined,
};

// Returns the fingerprint of a request: a hash of its route and of the content that identifies it.
// The content is the idempotency key. A request without a key is identified by its path, query and
// body. The body alone is not enough, because all lookups of a route would share one fingerprint.
std::uint64_t ComputeFingerprint(std::string_view route, std::string_view content);

// Detects requests that crash targets, and quarantines them. A request gets a strike if it was in
// flight on a target that died.
//
// A lost connection alone is not a strike. The requests that were lost on a target get their strike
// when it is proved that the target died: it refuses a connection or reports a new incarnation
// within proof_window. Until then a lost connection counts like a strike when the table decides
// whether the request may start. This way the limit also holds for a request that is resent before
// the proof.
//
// A request that crashes targets crashes each one that runs it, so it never gets a response. A
// response proves that the request was not the cause of the crashes before it, nor of one within
// response_validity after it. Those strikes are excused: they do not count. Responses to struck
// requests travel between daemons like strikes, and a daemon that receives a strike after the
// response excuses it as well. It compares the times of both, whatever the order of arrival.
//
// A struck request never starts on a target that runs another struck request. It also runs on only
// one target at a time until one of its runs gets a response. Otherwise several copies of a
// crashing request could crash as many targets at once. A frequent request that does not crash
// targets only has to wait for a single response.
//
// The class is not thread-safe. A daemon shards its tables by service, each under a lock. This is
// possible because a fingerprint contains the route, and a target belongs to one service.
class QuarantineTable {
 public:
  explicit QuarantineTable(const QuarantineLimits& table_limits) : limits(table_limits) {}
  // The class is not copyable, because entries hold iterators into `order`.
  QuarantineTable(QuarantineTable&&) = default;
  QuarantineTable& operator=(QuarantineTable&&) = default;
  ~QuarantineTable() = default;

  // Decides whether the request may start on the target. After kRun the caller calls Start before
  // it releases the lock of the shard.
  QuarantineDecision MayStart(TimePoint now, std::uint64_t fingerprint, std::string_view target);
  // Records that the request runs on the target.
  void Start(std::uint64_t fingerprint, std::string_view target);
  // Records the end of a run. `got_response` tells whether the target ran the request to its end
  // and sent a complete response.
  void Finish(TimePoint now, std::uint64_t fingerprint, std::string_view target, bool got_response);
  // Records that another daemon's target sent a complete response to the request.
  void RecordResponse(TimePoint now, std::uint64_t fingerprint, std::string_view target);

  // Records that the connection to this incarnation of the target was lost while it ran the
  // request. The caller then calls Finish and tries to connect again, which gives the proof within
  // proof_window.
  void RecordLostConnection(TimePoint now, std::uint64_t fingerprint, std::string_view target,
                            std::uint64_t incarnation);
  // Records that the target refused a connection, which proves that it died. Returns the number of
  // requests that are quarantined as a result.
  std::size_t RecordRefusedConnection(TimePoint now, std::string_view target);
  // Records the incarnation that a target reports. It proves that every older incarnation of the
  // target died. Returns the number of requests that are quarantined as a result.
  std::size_t RecordIncarnation(TimePoint now, std::string_view target, std::uint64_t incarnation);

  // Adds strikes and responses from other daemons. Returns the number of requests that are
  // quarantined as a result.
  std::size_t MergeEvidence(TimePoint now, std::span<const QuarantineEvidence> received);
  // Returns at most max_count strikes and responses for the next message, newest first. Removes
  // those that have been sent sends_per_evidence times.
  std::vector<QuarantineEvidence> TakeEvidence(TimePoint now, std::size_t max_count);

  bool IsQuarantined(TimePoint now, std::uint64_t fingerprint);
  // Returns the strikes of one request that count and the last response to it, to be sent along to
  // the daemon that may run it next.
  std::vector<QuarantineEvidence> ListEvidence(TimePoint now, std::uint64_t fingerprint) const;
  std::size_t GetEntryCount() const { return this->entries.size(); }
  std::size_t GetSuspicionCount() const { return this->suspicions.size(); }
  // Returns the number of strikes and responses that are still to be sent.
  std::size_t GetOutgoingCount() const { return this->outgoing.size(); }

 private:
  // Evidence and the time of what it is about. The age in `evidence` is 0.
  struct TimedEvidence {
    TimePoint at;
    QuarantineEvidence evidence;
  };
  // State of a request with at least one strike, or with a response that another daemon has sent.
  struct Entry {
    // Strikes that count: at most strike_limit, distinct by target and incarnation.
    std::vector<TimedEvidence> strikes;
    // Strikes that a response excuses, oldest first. They are kept so that they do not count when
    // they arrive again.
    std::deque<QuarantineEvidence> excused;
    TimePoint last_strike;
    // The last response that another daemon has sent or that excused a strike.
    std::optional<TimedEvidence> response;
    // Position of the request in QuarantineTable::order.
    std::list<std::uint64_t>::iterator order;
  };
  // Evidence that is to be sent to other daemons `sends_left` more times.
  struct Outgoing {
    TimedEvidence item;
    std::uint32_t sends_left = 0;
  };
  using EntryMap = std::unordered_map<std::uint64_t, Entry>;
  // Turns the suspicions that `select` accepts into strikes. Returns the number of requests that
  // are quarantined as a result.
  template <typename Selector>
  std::size_t ConfirmSuspicions(TimePoint now, Selector&& select);

  // Removes suspicions and entries that are too old.
  void Expire(TimePoint now);
  // Adds a strike that is not known yet. Returns whether the request is quarantined as a result.
  bool AddStrike(TimePoint now, const TimedEvidence& strike);
  // Adds a response and excuses the strikes that it disproves.
  void AddResponse(TimePoint now, const TimedEvidence& response);
  // Moves the strikes that the response of the entry disproves to the excused ones. Returns whether
  // there were any.
  bool ExcuseStrikes(Entry& entry);
  void AddExcused(Entry& entry, const QuarantineEvidence& strike);
  // Returns the last known response to the request.
  std::optional<TimedEvidence> FindResponse(std::uint64_t fingerprint) const;
  // Whether a response to the request proves that it did not cause a crash at that time.
  bool IsExcused(std::uint64_t fingerprint, TimePoint crashed_at) const;
  // Finds or adds the entry of the request and moves it to the end of `order`. Removes the least
  // recently struck entry if the table is full.
  EntryMap::iterator TouchEntry(std::uint64_t fingerprint);
  void EraseEntry(EntryMap::iterator found);
  // Adds evidence to what is to be sent. Drops the oldest if there is too much.
  void Queue(const TimedEvidence& item);
  // Sends the response to the request once more, because another daemon does not know it.
  void RepeatResponse(const TimedEvidence& response);
  // Returns the number of strikes that count and of suspicions of the request, distinct by target
  // and incarnation.
  std::size_t CountStrikes(std::uint64_t fingerprint) const;
  // Whether another request with a strike or a suspicion runs on the target.
  bool IsOtherStruckRequestRunning(std::uint64_t fingerprint, std::string_view target) const;

  QuarantineLimits limits;
  EntryMap entries;
  // Fingerprints of the entries, the least recently struck first.
  std::list<std::uint64_t> order;
  // Lost connections that become strikes if it is proved that the target died, oldest first.
  std::deque<TimedEvidence> suspicions;
  // Newest first.
  std::deque<Outgoing> outgoing;
  ResponseMemory responses;
  // For each target, the number of runs of each request on it.
  std::map<std::string, std::map<std::uint64_t, std::uint32_t>, std::less<>> running;
  // For each request, the number of its runs on all targets.
  std::unordered_map<std::uint64_t, std::uint32_t> running_counts;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUARANTINE_QUARANTINE_TABLE_H_
