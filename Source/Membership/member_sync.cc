#include "Membership/member_sync.h"

namespace lacewingbridge {

bool MemberSync::HandleHash(std::uint64_t own_hash, std::uint64_t peer_hash, TimePoint now) {
  if (own_hash == peer_hash) {
    this->differs_since.reset();
    return false;
  }
  if (!this->differs_since.has_value()) {
    this->differs_since = now;
  }
  const bool persists = now - *this->differs_since >= kMinDifferenceDuration;
  const bool due = !this->last_ask.has_value() || now - *this->last_ask >= kAskInterval;
  if (!persists || !due) {
    return false;
  }
  this->last_ask = now;
  return true;
}

}  // namespace lacewingbridge
