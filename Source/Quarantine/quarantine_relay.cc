#include "Quarantine/quarantine_relay.h"

#include <algorithm>

namespace lacewingbridge {

void QuarantineRelay::Add(TimePoint now, std::span<const QuarantineStrike> strikes) {
  for (const QuarantineStrike& strike : strikes) {
    const bool known = std::any_of(this->entries.begin(), this->entries.end(),
                                   [&](const Entry& entry) { return entry.strike == strike; });
    if (!known) {
      this->entries.push_back({now, strike});
    }
  }
  while (this->entries.size() > kMaxStrikes ||
         (!this->entries.empty() && now - this->entries.front().added > kRetentionTime)) {
    this->entries.pop_front();
  }
}

std::vector<QuarantineStrike> QuarantineRelay::List(TimePoint now) const {
  std::vector<QuarantineStrike> strikes;
  for (const Entry& entry : this->entries) {
    if (now - entry.added <= kRetentionTime) {
      strikes.push_back(entry.strike);
    }
  }
  return strikes;
}

}  // namespace lacewingbridge
