#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_HOLDER_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_HOLDER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "Core/time_point.h"
#include "Quota/quota_limit.h"
#include "quota.h"

namespace lacewingbridge {

enum class CreditOutcome {
  kTaken,
  // The request waits for the reply of a granting daemon.
  kWaiting,
  kBeyondQuota,
  // No granting daemon can be reached, so it is not known whether there is credit.
  kUnknown,
};

struct CreditTake {
  CreditOutcome outcome = CreditOutcome::kUnknown;
  // Time after which there may be credit, for requests that are refused.
  Duration wait{0};
  // Age of the newest reply of a granting daemon; empty without one.
  std::optional<Duration> reply_age;
  // The caller has to start a round of asks; see CreditHolder::MakeAsk.
  bool starts_asks = false;
};

// How a request that waited for credit ended.
struct CreditEnd {
  std::uint64_t ticket = 0;
  CreditTake take;
};

// Credit of one workspace at a daemon that passes its requests on. It takes credit for its recent
// demand in advance, so that requests need not wait, and never more than it is likely to spend
// before the credit ends.
//
// Load pattern: from a request every few seconds to hundreds a second, and demand that grows
// sixfold at once.
//
// Not thread-safe.
class CreditHolder {
 public:
  // `affinity` chooses the share that is asked first.
  CreditHolder(std::uint32_t share_count, std::uint64_t affinity);
  CreditHolder(CreditHolder&&) = default;

  // Takes credit for one request. The ticket names the request if it has to wait.
  CreditTake Take(TimePoint now, const ShareLimit& limit, std::uint64_t ticket);
  // The request no longer waits. Returns false if its end has already been decided.
  bool Leave(std::uint64_t ticket);
  // Gives back the credit, taken at `taken_at`, of a request that has not run. It reaches a
  // granting daemon with the next ask, or is lost if that comes too late.
  void Return(TimePoint taken_at);

  // Returns the next ask of a round, without the identity of the holder and the limit; empty when
  // the round is over. HandleReply has to be called before the next one. The ends of requests
  // that no longer wait are added to `ends`.
  std::optional<QuotaAsk> MakeAsk(TimePoint now, std::vector<CreditEnd>& ends);
  // `reply` is null if none has arrived.
  void HandleReply(TimePoint now, const QuotaReply* reply, std::vector<CreditEnd>& ends);

  // Whether the holder can be dropped and created again later.
  bool IsIdle(TimePoint now) const;
  std::uint32_t CountHeld(TimePoint now) const;

 private:
  static constexpr Duration kDemandTime = std::chrono::seconds(1);
  static constexpr Duration kIdleTime = std::chrono::seconds(10);
  static constexpr Duration kNotGrantingPause = std::chrono::milliseconds(200);
  static constexpr Duration kFirstLostPause = std::chrono::milliseconds(250);
  static constexpr Duration kLongestLostPause = std::chrono::seconds(2);

  struct Share {
    std::uint64_t serial = 0;
    std::uint64_t received = 0;
    std::uint32_t held = 0;
    TimePoint held_until;
    // Not asked before this time.
    TimePoint paused_until;
    bool used_up = false;
    int lost_replies = 0;
  };

  bool IsActive(TimePoint now) const { return now - this->last_take < kIdleTime; }
  void RecordDemand(TimePoint now);
  // Credit that the recent demand spends within the horizon.
  double GetBatch(TimePoint now) const;
  bool NeedsMore(TimePoint now) const;
  // Returns the share to ask next; null if all are paused.
  Share* FindShareToAsk(TimePoint now);
  bool TryTakeHeld(TimePoint now);
  CreditTake MakeRefusal(TimePoint now) const;
  void ApplyGrant(std::uint32_t granted, std::vector<CreditEnd>& ends);

  std::vector<Share> shares;
  std::size_t first_share;
  Duration horizon{0};
  // Requests per second, averaged over kDemandTime.
  double demand = 0;
  TimePoint last_take;
  std::uint32_t returned = 0;
  // When the first request took credit that has been given back since the last ask.
  TimePoint returned_since;
  std::optional<TimePoint> last_reply;
  std::deque<std::uint64_t> waiting;
  bool asking = false;
  // The ask whose reply is awaited.
  Share* asked = nullptr;
  TimePoint asked_at;
  std::uint32_t asked_for_waiting = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_HOLDER_H_
