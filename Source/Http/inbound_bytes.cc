#include "Http/inbound_bytes.h"

#include "Http/boot_clock.h"

namespace lacewingbridge {

InboundBytes::InboundBytes(asio::io_context& context, TcpSocket& from)
    : socket(from), arrived(context), consumed(context) {}

Awaitable<void> InboundBytes::Pump() {
  this->pumping = true;
  ErrorCode code;
  this->socket.non_blocking(true, code);
  while (!code) {
    if (this->buffer.size() >= kMaxHeldBytes) {
      constexpr Duration kCheckInterval = std::chrono::seconds(1);
      co_await this->consumed.WaitFor(kCheckInterval);
      if (!this->socket.is_open()) {
        break;
      }
      continue;
    }
    // Waits without a prepared buffer: consuming moves the bytes that a pending read
    // would write behind.
    co_await this->socket.async_wait(TcpSocket::wait_read, AwaitInto(code));
    if (!code) {
      this->buffer.commit(this->socket.read_some(this->buffer.prepare(kReadBytes), code));
    }
    if (code == asio::error::would_block) {
      code = {};
    }
    this->arrived.Notify();
  }
  this->ended = true;
  this->pumping = false;
  this->arrived.Notify();
  if (this->end_listener) {
    this->end_listener();
  }
}

void InboundBytes::Consume(std::size_t count) {
  this->buffer.consume(count);
  this->consumed.Notify();
}

Awaitable<bool> InboundBytes::WaitForMore(Duration limit) {
  const std::size_t before = this->buffer.size();
  const TimePoint until = GetNow() + limit;
  while (this->buffer.size() == before && !this->ended) {
    const Duration left = until - GetNow();
    if (left <= Duration{0}) {
      co_return false;
    }
    co_await this->arrived.WaitFor(left);
  }
  co_return true;
}

}  // namespace lacewingbridge
