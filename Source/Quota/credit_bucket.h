#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_BUCKET_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_BUCKET_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "Core/time_point.h"
#include "Quota/quota_limit.h"
#include "quota.h"

namespace lacewingbridge {

// One share of a workspace's quota at the daemon that grants it: a token bucket whose capacity also
// covers the credit that other daemons hold unspent. So in any window no more is spent than the
// capacity and what the rate adds within the window, however long credit is held.
//
// Load pattern: many daemons with little demand each, and one workspace far beyond its quota.
//
// Not thread-safe.
class CreditBucket {
 public:
  // The bucket is empty at `start`.
  CreditBucket(TimePoint start, const ShareLimit& share_limit);

  void SetLimit(TimePoint now, const ShareLimit& share_limit);
  QuotaReply Answer(TimePoint now, const QuotaAsk& ask);

  // Whether the bucket is full and nobody has asked for a while, so that it can be dropped and
  // created again later.
  bool IsIdle(TimePoint now) const;
  double GetAvailable(TimePoint now) const;

 private:
  // Asks are not delayed for this long, so a holder's serial need not be known any longer.
  static constexpr Duration kHolderMemory = std::chrono::seconds(10);
  // Holders that were refused within this time are expected to ask again.
  static constexpr Duration kHungerMemory = std::chrono::seconds(1);

  struct Holder {
    std::uint64_t serial = 0;
    // Granted by that reply.
    double granted = 0;
    double held = 0;
    TimePoint held_until;
    double waiting = 0;
    TimePoint waiting_until;
    TimePoint seen_at;
    TimePoint hungry_until;
  };

  void Refill(TimePoint now);
  // Takes credit into the bucket, as far as the unspent credit stays within the capacity.
  void Add(TimePoint now, double credit);
  double CountOutstanding(TimePoint now) const;
  // Returns the part of the given back credit that may be granted again.
  double TakeReturned(TimePoint now, double returned);
  Duration EstimateWait(TimePoint now) const;
  void DropOldHolders(TimePoint now);

  ShareLimit limit;
  TimePoint updated_at;
  TimePoint pruned_at;
  double available = 0;
  double return_room = 0;
  TimePoint return_room_at;
  std::map<std::uint64_t, Holder> holders;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_CREDIT_BUCKET_H_
