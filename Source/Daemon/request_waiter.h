#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_

#include <condition_variable>
#include <mutex>

#include "Core/time_point.h"

namespace lacewingbridge {

// Lets the thread of a queued request sleep until the queue admits or refuses it.
class RequestWaiter {
 public:
  enum class Verdict { kWaiting, kAdmitted, kRefused };

  void Decide(bool admitted);

  // Returns kWaiting when the time limit passed first.
  Verdict WaitUntil(TimePoint limit);

 private:
  std::mutex mutex;
  std::condition_variable decided;
  Verdict verdict = Verdict::kWaiting;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_WAITER_H_
