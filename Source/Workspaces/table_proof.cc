#include "Workspaces/table_proof.h"

#include <algorithm>

namespace lacewingbridge {

void TableProof::SetBound(Duration revoke_bound) { this->bound = revoke_bound; }

bool TableProof::RecordNewest(TimePoint sent, std::uint64_t version, std::uint64_t in_force) {
  if (version != in_force || (this->proven_at.has_value() && sent <= *this->proven_at)) {
    return false;
  }
  this->proven_at = sent;
  return true;
}

bool TableProof::RecordPeerProof(TimePoint sent, Duration age, std::uint64_t version,
                                 std::uint64_t in_force) {
  return this->RecordNewest(sent - age, version, in_force);
}

std::optional<Duration> TableProof::GetAge(TimePoint now) const {
  if (!this->proven_at.has_value() || now - *this->proven_at > this->bound * kUsedPercent / 100) {
    return std::nullopt;
  }
  return std::max(now - *this->proven_at, Duration{0});
}

bool TableProof::MayServeKeys(TimePoint now) const {
  return this->bound == Duration{0} || this->GetAge(now).has_value();
}

}  // namespace lacewingbridge
