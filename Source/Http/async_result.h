#ifndef LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_RESULT_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_RESULT_H_

#include <optional>
#include <utility>

#include "Http/async_signal.h"

namespace lacewingbridge {

// A value for which a coroutine waits. Used on the thread of one shard.
template <typename Value>
struct AsyncResult {
  explicit AsyncResult(asio::io_context& context) : signal(context) {}

  void Set(Value given) {
    this->value = std::move(given);
    this->signal.Notify();
  }

  AsyncSignal signal;
  std::optional<Value> value;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_ASYNC_RESULT_H_
