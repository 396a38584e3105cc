#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_TIMER_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_TIMER_H_

#include <memory>

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// Closes a socket when its time is over, which ends the pending operations on it.
class SocketTimer {
 public:
  explicit SocketTimer(asio::io_context& context)
      : timer(context), expired(std::make_shared<bool>(false)) {}

  // The socket has to outlive the timer or its next Stop.
  void Start(TcpSocket& socket, Duration limit) {
    this->expired = std::make_shared<bool>(false);
    this->timer.expires_after(limit);
    this->timer.async_wait([&socket, state = this->expired](const ErrorCode& code) {
      // A handler that was already queued when the timer was stopped finds itself alone.
      if (!code && state.use_count() > 1) {
        *state = true;
        ErrorCode ignored;
        // An orderly end could be taken for that of a message without a length.
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
      }
    });
  }

  void Stop() {
    const bool was_expired = *this->expired;
    this->timer.cancel();
    this->expired = std::make_shared<bool>(was_expired);
  }

  bool HasExpired() const { return *this->expired; }

 private:
  asio::steady_timer timer;
  std::shared_ptr<bool> expired;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_TIMER_H_
