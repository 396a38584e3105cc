#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_

#include <concepts>
#include <memory>
#include <utility>

#include "Http/asio_types.h"
#include "Http/inbound_bytes.h"
#include "Http/boot_clock.h"
#include "Http/io_shard.h"
#include "Http/server_exchange.h"
#include "Http/server_limits.h"
#include "Http/socket_options.h"

namespace lacewingbridge {

// What a listener does with its requests. GetLimits is asked anew for each request.
template <typename Handler>
concept ExchangeHandler = requires(Handler& handler, IoShard& shard, ServerExchange& exchange) {
  { handler.Handle(shard, exchange) } -> std::same_as<Awaitable<void>>;
  { handler.GetLimits() } -> std::same_as<ServerLimits>;
  handler.NoteOpened();
  handler.NoteClosed();
};

// One connection of a listener. Requests are handled one after the other, so pipelined
// ones are answered in order.
template <ExchangeHandler Handler>
class ServerConnection : public std::enable_shared_from_this<ServerConnection<Handler>> {
 public:
  ServerConnection(IoShard& io_shard, TcpSocket accepted, Handler& exchange_handler)
      : shard(io_shard),
        socket(std::move(accepted)),
        handler(exchange_handler),
        bytes(io_shard.GetContext(), this->socket) {}

  void Start() {
    SetConnectionOptions(this->socket);
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->shard.GetContext(),
        [self]() -> Awaitable<void> { co_await self->bytes.Pump(); }, asio::detached);
    asio::co_spawn(
        this->shard.GetContext(), [self]() -> Awaitable<void> { co_await self->Run(); },
        asio::detached);
  }

 private:
  // Time for the client to read the last answer before the connection is closed.
  static constexpr Duration kCloseLimit = std::chrono::seconds(1);

  Awaitable<void> Run() {
    this->handler.NoteOpened();
    for (bool more = true; more;) {
      more = co_await this->ServeOne();
    }
    co_await this->Close();
    this->handler.NoteClosed();
  }

  Awaitable<bool> ServeOne() {
    ServerExchange exchange(this->shard.GetContext(), this->socket, this->bytes,
                            this->handler.GetLimits());
    const ReadProblem problem = co_await exchange.ReadRequest();
    if (problem == ReadProblem::kEnded) {
      co_return false;
    }
    if (problem != ReadProblem::kNone) {
      exchange.CloseAfter();
      ServerExchange::Answer answer = MakeProblemAnswer(problem);
      co_await exchange.Send(std::move(answer));
      co_return false;
    }
    co_await this->handler.Handle(this->shard, exchange);
    exchange.SetGoneListener(nullptr);
    co_return exchange.IsReusable() && this->socket.is_open();
  }

  static ServerExchange::Answer MakeProblemAnswer(ReadProblem problem) {
    http::status status = http::status::bad_request;
    if (problem == ReadProblem::kHeadTooLong) {
      status = http::status::request_header_fields_too_large;
    } else if (problem == ReadProblem::kBodyTooLong) {
      status = http::status::payload_too_large;
    } else if (problem == ReadProblem::kTimedOut) {
      status = http::status::request_timeout;
    }
    return ServerExchange::Answer(status, 11);
  }

  // Closing with unread bytes would reset the connection and lose the last answer.
  Awaitable<void> Close() {
    ErrorCode ignored;
    this->socket.shutdown(TcpSocket::shutdown_send, ignored);
    const TimePoint until = GetNow() + kCloseLimit;
    while (!this->bytes.HasEnded() && GetNow() < until) {
      this->bytes.Consume(this->bytes.GetBytes().size());
      co_await this->bytes.WaitForMore(until - GetNow());
    }
    this->socket.close(ignored);
  }

  IoShard& shard;
  TcpSocket socket;
  Handler& handler;
  InboundBytes bytes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_
