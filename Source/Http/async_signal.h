#ifndef LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_SIGNAL_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_SIGNAL_H_

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// Lets one coroutine wait for a change that another one of the same shard makes. The
// waiting side checks its condition before each wait; a notification without a waiter is
// not kept.
class AsyncSignal {
 public:
  explicit AsyncSignal(asio::io_context& context) : timer(context) {}

  // Returns after Notify or when the time is over.
  Awaitable<void> WaitFor(Duration limit) {
    ErrorCode code;
    this->timer.expires_after(limit);
    co_await this->timer.async_wait(AwaitInto(code));
  }

  void Notify() { this->timer.cancel(); }

 private:
  asio::steady_timer timer;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_SIGNAL_H_
