#ifndef LACEWINGBRIDGE_SOURCE_STORE_STORE_REACH_H_
#define LACEWINGBRIDGE_SOURCE_STORE_STORE_REACH_H_

#include <string_view>

#include "Core/error.h"
#include "Http/io_shard.h"
#include "Observe/event_log.h"
#include "Store/store_backoff.h"

namespace lacewingbridge {

// Whether one loop of calls reaches the store, and the delays after its failures. Logs the loss of
// the store once per outage.
class StoreReach {
 public:
  StoreReach(IoShard& io_shard, std::string_view call_name) : shard(io_shard), call(call_name) {}

  Awaitable<void> PauseAfterError(const Error& error) {
    if (this->reached) {
      EventLog::Write(Event::kStoreUnreachable, "call={} reason=\"{}\"", this->call, error.detail);
      this->reached = false;
    }
    asio::steady_timer timer(this->shard.GetContext(),
                             this->backoff.GetNext(this->shard.GetRandom()));
    ErrorCode code;
    co_await timer.async_wait(AwaitInto(code));
  }

  // Returns whether this ended an outage.
  bool RecordReached() {
    const bool returned = !this->reached;
    if (returned) {
      EventLog::Write(Event::kStoreReached, "call={}", this->call);
      this->reached = true;
    }
    this->backoff.Reset();
    return returned;
  }

  bool IsReached() const { return this->reached; }

 private:
  IoShard& shard;
  const std::string_view call;
  StoreBackoff backoff;
  bool reached = true;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_STORE_REACH_H_
