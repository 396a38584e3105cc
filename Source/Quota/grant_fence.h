#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_GRANT_FENCE_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_GRANT_FENCE_H_

#include <cstdint>
#include <optional>

#include "Core/time_point.h"
#include "Membership/host_directory.h"
#include "Quota/quota_limit.h"

namespace lacewingbridge {

// Tells when this daemon may grant credit. It may from some time after the store has listed it,
// when the daemon that granted before has seen the list and its credit has ended. It may until
// other daemons can have dropped it: they do so HostDirectory::kRemovalDelay after its lease has
// ended, and by then the credit that it granted must have ended too.
//
// Not thread-safe.
class GrantFence {
 public:
  // Time until the daemon that granted before has read the changed list.
  static constexpr Duration kListTime = std::chrono::seconds(1);
  static constexpr Duration kSettleTime = kListTime + kCreditTime;

  // Records that the store has confirmed the lease by a call that was sent at `sent`. Returns false
  // if other daemons may have dropped this one before, so that its buckets are void.
  bool RecordRenewal(TimePoint sent, TimePoint now, std::uint64_t lease, Duration lease_time);
  // The lease ends now; other daemons will take over.
  void RecordEnd() { this->granting_until = TimePoint(); }

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
