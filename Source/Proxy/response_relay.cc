#include "Proxy/response_relay.h"

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <utility>

#include "Http/boot_clock.h"
#include "Proxy/header_fields.h"

namespace lacewingbridge {

namespace {

// Buffer between a fast sender and a slow reader.
constexpr std::size_t kPartBytes = std::size_t{32} * 1024;
// Size of one part of a paced response. A short response waits behind one such part at most.
constexpr std::size_t kPacedPartBytes = std::size_t{16} * 1024;

Awaitable<ErrorCode> WritePart(TcpSocket& to, std::string_view part, bool chunked) {
  ErrorCode code;
  if (part.empty()) {
    co_return code;
  }
  const asio::const_buffer data(part.data(), part.size());
  if (chunked) {
    const auto chunk = http::make_chunk(data);
    co_await asio::async_write(to, chunk, AwaitInto(code));
  } else {
    co_await asio::async_write(to, data, AwaitInto(code));
  }
  co_return code;
}

}  // namespace

Awaitable<void> BufferResponse(OutboundExchange& from, BufferedResponse& buffered,
                               std::size_t max_bytes) {
  buffered.headers = from.GetHead();
  const std::size_t remaining = max_bytes - std::min(max_bytes, buffered.body.size());
  buffered.status = co_await from.ReadBody(buffered.body, remaining);
}

Awaitable<void> BufferWholeResponse(OutboundExchange& from, BufferedResponse& buffered) {
  const std::optional<std::uint64_t> length = from.GetLength();
  if (buffered.status == BodyStatus::kMore && length.has_value() &&
      *length <= BufferedResponse::kMaxBufferedWholeBytes) {
    co_await BufferResponse(from, buffered, BufferedResponse::kMaxBufferedWholeBytes);
  }
}

Awaitable<void> RelayPaced(BufferedResponse& buffered, LinkReservation reservation,
                           asio::io_context& io_context, ServerExchange& to) {
  const std::string_view body = buffered.body;
  const TimePoint begin = GetNow() + reservation.wait;
  asio::steady_timer timer(io_context);
  ErrorCode code;
  timer.expires_after(reservation.wait);
  co_await timer.async_wait(AwaitInto(code));
  bool ok = co_await to.SendHead(std::move(buffered.headers), body.size());
  for (std::size_t sent = 0; ok && sent < body.size(); sent += kPacedPartBytes) {
    const Duration due = reservation.transfer * static_cast<std::int64_t>(sent) /
                         static_cast<std::int64_t>(body.size());
    timer.expires_after(std::max(begin + due - GetNow(), Duration{0}));
    co_await timer.async_wait(AwaitInto(code));
    const std::string_view part = body.substr(sent, kPacedPartBytes);
    ok = co_await to.SendPart(part);
  }
  if (ok) {
    ok = co_await to.SendEnd();
  }
  if (!ok) {
    to.Abort();
  }
}

Awaitable<std::uint64_t> RelayResponse(OutboundExchange& from, BufferedResponse& buffered,
                                       ServerExchange& to) {
  std::uint64_t bytes = buffered.body.size();
  if (buffered.status == BodyStatus::kComplete) {
    ServerExchange::Answer response(std::move(buffered.headers), std::move(buffered.body));
    co_await to.Send(std::move(response));
    co_return bytes;
  }
  bool ok = co_await to.SendHead(std::move(buffered.headers), from.GetLength());
  std::string part = std::move(buffered.body);
  BodyStatus status = buffered.status;
  while (ok && status != BodyStatus::kBroken) {
    ok = co_await to.SendPart(part);
    if (!ok || status == BodyStatus::kComplete) {
      break;
    }
    part.clear();
    status = co_await from.ReadBody(part, kPartBytes);
    bytes += part.size();
  }
  ok = ok && status == BodyStatus::kComplete;
  if (ok) {
    ok = co_await to.SendEnd();
  }
  if (!ok) {
    to.Abort();
  }
  co_return bytes;
}

OutboundExchange::Request MakeForwardedRequest(const ServerExchange& from) {
  OutboundExchange::Request request;
  request.method_string(from.GetHead().method_string());
  request.target(from.GetHead().target());
  request.version(11);
  CopyEndToEndHeaders(from.GetHead(), request);
  if (from.IsBodyComplete()) {
    request.body() = from.GetBody();
    // A request whose method usually has no body gets a Content-Length only if it has a body.
    if (!request.body().empty() || from.GetLength().has_value()) {
      request.content_length(request.body().size());
    }
  } else if (from.GetLength().has_value()) {
    request.content_length(*from.GetLength());
  } else {
    request.chunked(true);
  }
  return request;
}

Awaitable<ErrorCode> RelayRequestBody(ServerExchange& from, bool chunked, TcpSocket& to) {
  ErrorCode code = co_await WritePart(to, from.GetBody(), chunked);
  std::string part;
  while (!code && !from.IsBodyComplete()) {
    const bool arrived = co_await from.ReadBodyPart(part);
    if (!arrived) {
      co_return asio::error::operation_aborted;
    }
    code = co_await WritePart(to, part, chunked);
  }
  if (!code && chunked) {
    const auto last = http::make_chunk_last();
    co_await asio::async_write(to, last, AwaitInto(code));
  }
  co_return code;
}

}  // namespace lacewingbridge
