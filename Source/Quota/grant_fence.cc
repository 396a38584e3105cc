#include "Quota/grant_fence.h"

#include <algorithm>

namespace lacewingbridge {

bool GrantFence::RecordRenewal(TimePoint sent, TimePoint now, std::uint64_t lease,
                               Duration lease_time) {
  // A new lease soon after the last call leaves other daemons no time to drop this one.
  const bool kept = this->granting_from.has_value() &&
                    (lease == this->known_lease ||
                     now - this->last_sent < HostDirectory::kRemovalDelay - 2 * kListTime);
  if (!kept) {
    this->granting_from = now + kSettleTime;
  }
  this->known_lease = lease;
  this->last_sent = sent;
  this->granting_until = sent + std::min(lease_time, kContactTime);
  return kept;
}

}  // namespace lacewingbridge
