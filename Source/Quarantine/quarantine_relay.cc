#include "Quarantine/quarantine_relay.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

// Whether both say the same, at whatever age.
bool IsSame(QuarantineEvidence left, const QuarantineEvidence& right) {
  left.age_ms = right.age_ms;
  return left == right;
}

}  // namespace

void QuarantineRelay::Add(TimePoint now, std::span<const QuarantineEvidence> strikes) {
  for (const QuarantineEvidence& strike : strikes) {
    const bool known =
        std::any_of(this->entries.begin(), this->entries.end(),
                    [&](const Entry& entry) { return IsSame(entry.strike, strike); });
    if (!known) {
      this->entries.push_back({now, strike});
    }
  }
  while (this->entries.size() > kMaxStrikes ||
         (!this->entries.empty() && now - this->entries.front().added > kRetentionTime)) {
    this->entries.pop_front();
  }
}

std::vector<QuarantineEvidence> QuarantineRelay::List(TimePoint now) const {
  std::vector<QuarantineEvidence> strikes;
  for (const Entry& entry : this->entries) {
    if (now - entry.added <= kRetentionTime) {
      strikes.push_back(entry.strike);
      strikes.back().age_ms += static_cast<std::uint64_t>(CountMilliseconds(now - entry.added));
    }
  }
  return strikes;
}

}  // namespace lacewingbridge
