#include "Daemon/request_waiter.h"

#include "Daemon/daemon_clock.h"

namespace lacewingbridge {

void RequestWaiter::Decide(bool admitted) {
  {
    const std::lock_guard guard(this->mutex);
    this->verdict = admitted ? Verdict::kAdmitted : Verdict::kRefused;
  }
  this->decided.notify_one();
}

RequestWaiter::Verdict RequestWaiter::WaitUntil(TimePoint limit) {
  std::unique_lock lock(this->mutex);
  this->decided.wait_until(lock, ToSteadyTime(limit),
                           [this] { return this->verdict != Verdict::kWaiting; });
  return this->verdict;
}

}  // namespace lacewingbridge
