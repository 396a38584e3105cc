#include "Workspaces/proof_schedule.h"

namespace lacewingbridge {

void ProofSchedule::Draw(bool is_reader, std::mt19937_64& random) {
  const Duration least = this->bound * (is_reader ? kReaderMinPercent : kOtherMinPercent) / 100;
  const Duration most = this->bound * (is_reader ? kReaderMaxPercent : kOtherMaxPercent) / 100;
  std::uniform_int_distribution<Duration::rep> pick(least.count(), most.count());
  this->age = Duration(pick(random));
}

bool ProofSchedule::IsDue(TimePoint now, std::optional<TimePoint> proven_at, bool requested) const {
  const Duration since_asked =
      this->last_asked.has_value() ? now - *this->last_asked : Duration::max();
  if (since_asked < kMinInterval) {
    return false;
  }
  const bool expired =
      !proven_at.has_value() || now - *proven_at >= this->age.value_or(Duration{0});
  return expired || (requested && since_asked >= kMinRequestedInterval);
}

void ProofSchedule::RecordAsked(TimePoint now) {
  this->last_asked = now;
  this->age.reset();
}

}  // namespace lacewingbridge
