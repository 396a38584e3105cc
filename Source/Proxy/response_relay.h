#ifndef LACEWINGBRIDGE_SOURCE_PROXY_RESPONSE_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_RESPONSE_RELAY_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "Core/time_point.h"
#include "Http/outbound_exchange.h"
#include "Http/server_exchange.h"

namespace lacewingbridge {

// A response and the first part of its body. Up to kMaxBufferedBytes bytes are read before any of
// it is passed on, so that the request can be sent again if the response breaks off early.
struct BufferedResponse {
  static constexpr std::size_t kMaxBufferedBytes = std::size_t{64} * 1024;
  // The limit in place of kMaxBufferedBytes for a response whose length is known.
  static constexpr std::size_t kMaxBufferedWholeBytes = std::size_t{512} * 1024;

  http::response_header<> headers;
  std::string body;
  BodyStatus status = BodyStatus::kMore;
};

// Reads further bytes of the body until buffered has max_bytes of it or the body is complete.
Awaitable<void> BufferResponse(OutboundExchange& from, BufferedResponse& buffered,
                               std::size_t max_bytes);

// Reads the rest of a response whose length is known, unless it exceeds kMaxBufferedWholeBytes.
Awaitable<void> BufferWholeResponse(OutboundExchange& from, BufferedResponse& buffered);

// Forwards the response. The rest of a long body is read as it arrives and written as fast as the
// reader accepts it. If the response breaks off, the connection to the reader is aborted, so that
// the response does not look complete. Returns the number of bytes of the body.
Awaitable<std::uint64_t> RelayResponse(OutboundExchange& from, BufferedResponse& buffered,
                                       ServerExchange& to);

// The reserved time of a response on a slow link.
struct LinkReservation {
  Duration wait{0};      // until the first byte
  Duration transfer{0};  // from the first byte to the last
};

// Sends a complete response in parts that are spread over its reserved time.
Awaitable<void> RelayPaced(BufferedResponse& buffered, LinkReservation reservation,
                           asio::io_context& io_context, ServerExchange& to);

// Builds the request that is forwarded: method, target, end-to-end headers and the part of the body
// that is in memory, with the framing (chunked or with a length) of the received request.
OutboundExchange::Request MakeForwardedRequest(const ServerExchange& from);

// Writes the body of a request to another process: first the part in memory, then the rest as it
// arrives, with the framing of the request. Returns the error of the first write that failed, or
// operation_aborted if the rest does not arrive.
Awaitable<ErrorCode> RelayRequestBody(ServerExchange& from, bool chunked, TcpSocket& to);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_RESPONSE_RELAY_H_
