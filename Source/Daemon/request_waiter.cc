#include "Daemon/request_waiter.h"

#include <chrono>

namespace lacewingbridge {

void RequestWaiter::Decide(bool admitted) {
  {
    const std::lock_guard guard(this->mutex);
    this->verdict = admitted ? Verdict::kAdmitted : Verdict::kRefused;
  }
  this->decided.notify_one();
}

RequestWaiter::Verdict RequestWaiter::WaitUntil(TimePoint limit) {
  // GetNow counts the steady clock's time.
  const std::chrono::steady_clock::time_point until{limit.time_since_epoch()};
  std::unique_lock lock(this->mutex);
  this->decided.wait_until(lock, until, [this] { return this->verdict != Verdict::kWaiting; });
  return this->verdict;
}

}  // namespace lacewingbridge
