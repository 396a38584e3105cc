#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_

#include <condition_variable>
#include <mutex>

#include "Core/time_point.h"

namespace lacewingbridge {

// Blocks the thread of a queued request until the queue admits or refuses the request.
class RequestWaiter {
 public:
  enum class Verdict { kWaiting, kAdmitted, kRefused };

  // Wakes the waiting thread. Called by the thread that changed the queue.
  void Decide(bool admitted);

  // Returns kWaiting if the time limit passes before a decision.
  Verdict WaitUntil(TimePoint limit);

 private:
  std::mutex mutex;
  std::condition_variable decided;
  Verdict verdict = Verdict::kWaiting;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_
