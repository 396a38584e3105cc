#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_GRANT_FENCE_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_GRANT_FENCE_H_

#include <cstdint>
#include <optional>

#include "Core/time_point.h"
#include "Membership/host_directory.h"
#include "Quota/quota_limit.h"

namespace lacewingbridge {

// Tells when this daemon may grant credit: while it is surely in touch with the store, and not
// before the credit of the daemon that granted until now has ended. That one has read from the
// store that this one is listed, or has lost touch with it, before kSettleTime is over. A daemon
// that takes over because another one has left the list need not wait: its directory keeps the
// other one for HostDirectory::kRemovalDelay after the end of its lease.
//
// Not thread-safe.
class GrantFence {
 public:
  // Longest time without a call that the store confirmed.
  static constexpr Duration kContactTime = std::chrono::seconds(4);
  // Time until a change of the list has reached a daemon in touch.
  static constexpr Duration kListTime = std::chrono::milliseconds(500);
  static constexpr Duration kSettleTime = kContactTime + kListTime + kCreditTime;
  static_assert(HostDirectory::kRemovalDelay >= kCreditTime);

  // Records that the store, asked at `sent`, still listed an earlier process of this host, whose
  // record said that it grants. No other daemon has taken over from it, and what it granted is
  // bounded by the capacity of its buckets. While an earlier process still waits, another daemon
  // may grant its shares.
  void RecordEarlierProcess(TimePoint sent) {
    this->granting_from = sent;
    this->last_sent = sent;
  }
  // Records that the store has confirmed the lease by a call that was sent at `sent`. Returns false
  // if other daemons may have dropped this one before, so that its buckets are void.
  bool RecordRenewal(TimePoint sent, TimePoint now, std::uint64_t lease, Duration lease_time);
  // The lease ends now; other daemons will take over.
  void RecordEnd() {
    this->granting_until = TimePoint();
    this->known_lease = 0;
  }

  // Whether the record of this host under the lease may say that this daemon grants: the store has
  // confirmed the lease, and the wait is over.
  bool HasSettled(TimePoint now, std::uint64_t lease) const {
    return lease != 0 && lease == this->known_lease && now >= *this->granting_from;
  }

  bool MayGrant(TimePoint now) const {
    return this->granting_from.has_value() && now >= *this->granting_from &&
           now < this->granting_until;
  }
  // When the buckets of this daemon began to fill.
  std::optional<TimePoint> GetStart() const { return this->granting_from; }

 private:
  std::uint64_t known_lease = 0;
  TimePoint last_sent;
  std::optional<TimePoint> granting_from;
  TimePoint granting_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_GRANT_FENCE_H_
