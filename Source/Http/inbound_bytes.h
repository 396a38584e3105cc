#ifndef LACEWINGBRIDGE_SOURCE_HTTP_INBOUND_BYTES_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_INBOUND_BYTES_H_

#include <cstddef>
#include <functional>
#include <map>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "Http/async_signal.h"

namespace lacewingbridge {

// Reads from a connection all the time, so that the end of the connection is noticed while
// a request is under way. Holds a bounded number of bytes; beyond it the sender waits.
class InboundBytes {
 public:
  // Room for a few pipelined requests, or for a chunk of a body.
  static constexpr std::size_t kMaxHeldBytes = std::size_t{64} * 1024;

  InboundBytes(asio::io_context& context, TcpSocket& from);

  // Runs until the connection ends. Started once, beside the coroutine that consumes.
  Awaitable<void> Pump();

  // Bytes that are not consumed yet.
  asio::const_buffer GetBytes() const { return this->buffer.cdata(); }
  void Consume(std::size_t count);

  // Waits until there are more bytes than now, the connection has ended or reading is
  // stopped; false when the time is over before.
  Awaitable<bool> WaitForMore(Duration limit);

  bool HasEnded() const { return this->ended; }

  // Reads without waiting what has arrived, and notices whether the connection has ended. Pump may
  // not have run since then.
  void ReadArrived();

  // Called when the connection ends; each owner has one listener, an empty one removes it.
  void SetEndListener(const void* owner, std::function<void()> listener);

  // Waits for the first byte of a request; false when there is none, because the time is
  // over, the connection has ended or reading was stopped.
  Awaitable<bool> WaitForRequest(Duration limit);

  // Ends the reading of requests; what is under way goes on.
  void StopReading();
  bool IsStopped() const { return this->stopped; }

 private:
  // Requests of today have heads of about 300 bytes; thousands of connections may be open.
  static constexpr std::size_t kReadBytes = std::size_t{2} * 1024;

  TcpSocket& socket;
  boost::beast::flat_buffer buffer;
  AsyncSignal arrived;
  AsyncSignal consumed;
  std::map<const void*, std::function<void()>> end_listeners;
  bool ended = false;
  bool stopped = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_INBOUND_BYTES_H_
