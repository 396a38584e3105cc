#include "Http/inbound_bytes.h"

#include <utility>

#include "Http/boot_clock.h"

namespace lacewingbridge {

InboundBytes::InboundBytes(asio::io_context& context, TcpSocket& from)
    : socket(from), arrived(context), consumed(context) {}

Awaitable<void> InboundBytes::Pump() {
  ErrorCode code;
  this->socket.non_blocking(true, code);
  while (!code && !this->ended) {
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
  this->arrived.Notify();
  // A listener may remove itself or others.
  const auto listeners = this->end_listeners;
  for (const auto& [owner, listener] : listeners) {
    if (this->end_listeners.count(owner) > 0) {
      listener();
    }
  }
}

void InboundBytes::ReadArrived() {
  ErrorCode code;
  const std::size_t before = this->buffer.size();
  while (!code && !this->ended && this->buffer.size() < kMaxHeldBytes) {
    this->buffer.commit(this->socket.read_some(this->buffer.prepare(kReadBytes), code));
  }
  // Pump reads the end as well and calls the listeners.
  this->ended = this->ended || (code && code != asio::error::would_block);
  if (this->ended || this->buffer.size() > before) {
    this->arrived.Notify();
  }
}

void InboundBytes::SetEndListener(const void* owner, std::function<void()> listener) {
  if (listener) {
    this->end_listeners[owner] = std::move(listener);
  } else {
    this->end_listeners.erase(owner);
  }
}

Awaitable<bool> InboundBytes::WaitForRequest(Duration limit) {
  const TimePoint until = GetNow() + limit;
  while (this->buffer.size() == 0 && !this->ended && !this->stopped) {
    const Duration left = until - GetNow();
    if (left <= Duration{0}) {
      break;
    }
    co_await this->arrived.WaitFor(left);
  }
  co_return this->buffer.size() > 0 && !this->stopped;
}

void InboundBytes::StopReading() {
  this->stopped = true;
  this->arrived.Notify();
}

void InboundBytes::Consume(std::size_t count) {
  this->buffer.consume(count);
  this->consumed.Notify();
}

Awaitable<bool> InboundBytes::WaitForMore(Duration limit) {
  const std::size_t before = this->buffer.size();
  const bool was_stopped = this->stopped;
  const TimePoint until = GetNow() + limit;
  while (this->buffer.size() == before && !this->ended && this->stopped == was_stopped) {
    const Duration left = until - GetNow();
    if (left <= Duration{0}) {
      co_return false;
    }
    co_await this->arrived.WaitFor(left);
  }
  co_return true;
}

}  // namespace lacewingbridge
