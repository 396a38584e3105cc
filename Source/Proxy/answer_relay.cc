#include "Proxy/answer_relay.h"

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
constexpr std::size_t kPacedBytes = std::size_t{16} * 1024;

Awaitable<bool> WritePart(TcpSocket& to, std::string_view part, bool chunked) {
  ErrorCode code;
  if (part.empty()) {
    co_return true;
  }
  const asio::const_buffer data(part.data(), part.size());
  if (chunked) {
    const auto chunk = http::make_chunk(data);
    co_await asio::async_write(to, chunk, AwaitInto(code));
  } else {
    co_await asio::async_write(to, data, AwaitInto(code));
  }
  co_return !code;
}

}  // namespace

Awaitable<void> HoldAnswer(OutboundExchange& from, HeldAnswer& held, std::size_t max_bytes) {
  held.head = from.GetHead();
  const std::size_t room = max_bytes - std::min(max_bytes, held.body.size());
  held.status = co_await from.ReadBody(held.body, room);
}

Awaitable<void> HoldWholeAnswer(OutboundExchange& from, HeldAnswer& held) {
  const std::optional<std::uint64_t> length = from.GetLength();
  if (held.status == BodyStatus::kMore && length.has_value() &&
      *length <= HeldAnswer::kMaxHeldWhole) {
    co_await HoldAnswer(from, held, HeldAnswer::kMaxHeldWhole);
  }
}

Awaitable<void> RelayInTurn(HeldAnswer& held, LinkTurn turn, asio::io_context& io_context,
                            ServerExchange& to) {
  const std::string_view body = held.body;
  const TimePoint begin = GetNow() + turn.wait;
  asio::steady_timer timer(io_context);
  ErrorCode code;
  timer.expires_after(turn.wait);
  co_await timer.async_wait(AwaitInto(code));
  bool sound = co_await to.SendHead(std::move(held.head), body.size());
  for (std::size_t sent = 0; sound && sent < body.size(); sent += kPacedBytes) {
    const Duration due =
        turn.transfer * static_cast<std::int64_t>(sent) / static_cast<std::int64_t>(body.size());
    timer.expires_after(std::max(begin + due - GetNow(), Duration{0}));
    co_await timer.async_wait(AwaitInto(code));
    const std::string_view part = body.substr(sent, kPacedBytes);
    sound = co_await to.SendPart(part);
  }
  if (sound) {
    sound = co_await to.SendEnd();
  }
  if (!sound) {
    to.Abort();
  }
}

Awaitable<std::uint64_t> RelayAnswer(OutboundExchange& from, HeldAnswer& held, ServerExchange& to) {
  std::uint64_t bytes = held.body.size();
  if (held.status == BodyStatus::kComplete) {
    ServerExchange::Answer answer(std::move(held.head), std::move(held.body));
    co_await to.Send(std::move(answer));
    co_return bytes;
  }
  bool sound = co_await to.SendHead(std::move(held.head), from.GetLength());
  std::string part = std::move(held.body);
  BodyStatus status = held.status;
  while (sound && status != BodyStatus::kBroken) {
    sound = co_await to.SendPart(part);
    if (!sound || status == BodyStatus::kComplete) {
      break;
    }
    part.clear();
    status = co_await from.ReadBody(part, kPartBytes);
    bytes += part.size();
  }
  sound = sound && status == BodyStatus::kComplete;
  if (sound) {
    sound = co_await to.SendEnd();
  }
  if (!sound) {
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

Awaitable<bool> RelayRequestBody(ServerExchange& from, bool chunked, TcpSocket& to) {
  bool sound = co_await WritePart(to, from.GetBody(), chunked);
  std::string part;
  while (sound && !from.IsBodyComplete()) {
    sound = co_await from.ReadBodyPart(part);
    if (sound) {
      sound = co_await WritePart(to, part, chunked);
    }
  }
  if (!sound) {
    co_return false;
  }
  ErrorCode code;
  if (chunked) {
    const auto last = http::make_chunk_last();
    co_await asio::async_write(to, last, AwaitInto(code));
  }
  co_return !code;
}

}  // namespace lacewingbridge
