#ifndef LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_

#include <string>

#include "Core/time_point.h"
#include "Http/asio_types.h"

namespace lacewingbridge {

// A connection to a daemon, a target or the store, with the bytes read ahead on it.
struct OutboundConnection {
  explicit OutboundConnection(asio::io_context& context) : socket(context) {}

  TcpSocket socket;
  boost::beast::flat_buffer buffer;
  TimePoint idle_since;
  // From then on the other side may close it.
  TimePoint usable_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_OUTBOUND_CONNECTION_H_
