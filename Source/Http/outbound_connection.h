#ifndef LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_

#include <cstddef>
#include <memory>
#include <string>

#include "Core/time_point.h"
#include "Http/asio_types.h"
#include "Http/send_watch.h"

namespace lacewingbridge {

// A connection to a daemon, a target or the store, with the bytes read ahead on it.
struct OutboundConnection {
  // Limit on the bytes that are read ahead. The parser takes a body from them in parts, but needs
  // a head, the line of a chunk and the trailers as a whole, and has no limit for the latter two.
  static constexpr std::size_t kMaxHeldBytes = std::size_t{128} * 1024;

  OutboundConnection(asio::io_context& context, SendWatch& send_watch)
      : socket(context), sends(send_watch.MakeEntry(this->socket)), buffer(kMaxHeldBytes) {}

  TcpSocket socket;
  std::shared_ptr<SendWatch::Entry> sends;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
  // From then on the other side may close it.
  TimePoint usable_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_
