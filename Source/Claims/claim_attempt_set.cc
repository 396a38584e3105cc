#include "Claims/claim_attempt_set.h"

namespace lacewingbridge {

void ClaimAttemptSet::Add(std::uint64_t attempt_id) {
  if (!this->members.insert(attempt_id).second) {
    return;
  }
  this->order.push_back(attempt_id);
  if (this->order.size() > this->capacity) {
    this->members.erase(this->order.front());
    this->order.pop_front();
  }
}

}  // namespace lacewingbridge
