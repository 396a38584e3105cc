#include "Workspaces/proof_schedule.h"

namespace lacewingbridge {

void ProofSchedule::Draw(bool is_reader, std::mt19937_64& random) {
  const Duration least = this->bound * (is_reader ? kReaderMinPercent : kOtherMinPercent) / 100;
  const Duration most = this->bound * (is_reader ? kReaderMaxPercent : kOtherMaxPercent) / 100;
  std::uniform_int_distribution<Duration::rep> pick(least.count(), most.count());
  this->age = Duration(pick(random));
}

bool ProofSchedule::IsDue(TimePoint now, std::optional<TimePoint> proven_at, bool requested) const {
  if (this->last_asked.has_value() && now - *this->last_asked < kMinInterval) {
    return false;
  }
  return requested || !proven_at.has_value() || now - *proven_at >= this->age.value_or(Duration{0});
}

void ProofSchedule::RecordAsked(TimePoint now) {
  this->last_asked = now;
  this->age.reset();
}

}  // namespace lacewingbridge
