#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_

#include <concepts>
#include <cstddef>
#include <exception>
#include <memory>
#include <utility>

#include "Http/answer_order.h"
#include "Http/asio_types.h"
#include "Http/async_signal.h"
#include "Http/boot_clock.h"
#include "Http/connection_end.h"
#include "Http/inbound_bytes.h"
#include "Http/io_shard.h"
#include "Http/server_exchange.h"
#include "Http/server_limits.h"
#include "Http/socket_options.h"
#include "Observe/event_log.h"

namespace lacewingbridge {

// What a listener does with its requests. GetLimits is asked anew for each request.
template <typename Handler>
concept ExchangeHandler = requires(Handler& handler, IoShard& shard, ServerExchange& exchange) {
  { handler.Handle(shard, exchange) } -> std::same_as<Awaitable<void>>;
  { handler.GetLimits() } -> std::same_as<ServerLimits>;
  // Whether a request whose method promises that it changes nothing may be sent again, so that
  // the next request of the connection may be handled beside it.
  { handler.MayRepeat(exchange) } -> std::same_as<bool>;
  handler.NoteOpened();
  handler.NoteClosed();
  // From the first byte of a request until it has been answered and until the last response of
  // a connection that is being closed has been read.
  handler.NoteBusy();
  handler.NoteIdle();
};

// One connection of a listener. Pipelined requests are handled side by side, so that a
// quick one does not wait for the work of a slow one, and are answered in order.
template <ExchangeHandler Handler>
class ServerConnection : public std::enable_shared_from_this<ServerConnection<Handler>> {
 public:
  ServerConnection(IoShard& io_shard, TcpSocket accepted, Handler& exchange_handler)
      : shard(io_shard),
        socket(std::move(accepted)),
        sends(io_shard.GetSendWatch().MakeEntry(this->socket)),
        handler(exchange_handler),
        bytes(io_shard.GetContext(), this->socket),
        order(io_shard.GetContext()),
        run_ended(io_shard.GetContext()) {}

  void Start() {
    SetConnectionOptions(this->socket);
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->shard.GetContext(), [self]() -> Awaitable<void> { co_await self->bytes.Pump(); },
        asio::detached);
    asio::co_spawn(
        this->shard.GetContext(), [self]() -> Awaitable<void> { co_await self->Run(); },
        asio::detached);
  }

 private:
  // Requests of one connection that are handled at the same time.
  static constexpr std::size_t kMaxRunning = 16;
  // Each wait ends by a notification; this only bounds the life of a timer.
  static constexpr Duration kRecheckInterval = std::chrono::minutes(1);
  // Time for the client to read the last answer before the connection is closed.
  static constexpr Duration kCloseLimit = std::chrono::seconds(1);

  Awaitable<void> Run() {
    this->handler.NoteOpened();
    for (bool more = true; more;) {
      more = co_await this->WaitForRequest();
      if (more) {
        this->BeginWork();
        more = co_await this->ReadOne();
        this->EndWork();
      }
    }
    this->BeginWork();
    co_await this->WaitForRunning(0);
    co_await this->Close();
    this->EndWork();
    this->handler.NoteClosed();
  }

  // Waits for the first byte of a request; false if the connection ends or has been idle for
  // too long. It is idle from its last response on.
  Awaitable<bool> WaitForRequest() {
    while (true) {
      Duration left = this->handler.GetLimits().idle_timeout;
      if (this->running == 0) {
        left -= GetNow() - this->idle_since;
      }
      if (left <= Duration{0}) {
        co_return false;
      }
      const bool begun = co_await this->bytes.WaitForRequest(left);
      if (begun || this->bytes.HasEnded() || this->bytes.IsStopped()) {
        co_return begun;
      }
    }
  }

  // Reads one request and begins to handle it. A request that may change something waits
  // until those before it have been answered: if one of their answers breaks off, it is not
  // handled. Once a response has been sent behind which the connection ends, no request is
  // taken; its caller sends it again.
  Awaitable<bool> ReadOne() {
    auto exchange =
        std::make_shared<ServerExchange>(this->shard.GetContext(), this->socket, *this->sends,
                                         this->bytes, this->order, this->handler.GetLimits());
    const ReadProblem problem = co_await exchange->ReadRequest();
    if (problem == ReadProblem::kEnded || this->order.IsEnding() || this->order.IsClosed()) {
      co_return false;
    }
    exchange->Take();
    if (problem != ReadProblem::kNone) {
      exchange->CloseAfter();
      ServerExchange::Answer answer = MakeProblemAnswer(problem);
      co_await exchange->Send(std::move(answer));
      co_return false;
    }
    if (exchange->MayRunBeside() && this->handler.MayRepeat(*exchange)) {
      this->Spawn(exchange);
      co_await this->WaitForRunning(kMaxRunning - 1);
    } else {
      co_await this->WaitForRunning(0);
      if (!this->order.IsClosed()) {
        co_await this->HandleOne(exchange);
      }
    }
    co_return !this->order.IsEnding() && !this->order.IsClosed() && this->socket.is_open();
  }

  void Spawn(const std::shared_ptr<ServerExchange>& exchange) {
    ++this->running;
    this->BeginWork();
    auto self = this->shared_from_this();
    asio::co_spawn(
        this->shard.GetContext(),
        [self, exchange]() -> Awaitable<void> { co_await self->RunOne(exchange); }, asio::detached);
  }

  Awaitable<void> RunOne(std::shared_ptr<ServerExchange> exchange) {
    co_await this->HandleOne(exchange);
    --this->running;
    this->run_ended.Notify();
    this->EndWork();
  }

  void BeginWork() {
    if (this->work++ == 0) {
      this->handler.NoteBusy();
    }
  }

  void EndWork() {
    if (--this->work == 0) {
      this->handler.NoteIdle();
    }
  }

  Awaitable<void> HandleOne(const std::shared_ptr<ServerExchange>& exchange) {
    try {
      co_await this->handler.Handle(this->shard, *exchange);
    } catch (const std::exception& error) {
      // Libraries report a lack of memory, or a field that is too long for them, in this way.
      EventLog::Write(Event::kRequestFailed, "reason=\"{}\"", error.what());
    }
    exchange->SetGoneListener(nullptr);
    if (exchange->IsAnswerUnfinished()) {
      // Closing in order would complete an answer without a length.
      exchange->Abort();
    }
    this->idle_since = GetNow();
    if (!exchange->IsReusable()) {
      const ConnectionEnd end = exchange->GetConnectionEnd();
      this->order.Close(end == ConnectionEnd::kNone ? ConnectionEnd::kAborted : end);
      this->bytes.StopReading();
    }
  }

  // Requests that are handled beside the reading of the next one.
  std::size_t GetRunningCount() const { return this->running; }

  Awaitable<void> WaitForRunning(std::size_t most) {
    while (this->GetRunningCount() > most) {
      co_await this->run_ended.WaitFor(kRecheckInterval);
    }
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

  // Closing with unread bytes would reset the connection and lose the last answer. The operating
  // system delivers what the caller has not read yet.
  Awaitable<void> Close() {
    this->sends->Release();
    SetSilenceLimit(this->socket, SilenceLimit::kPaused);
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
  const std::shared_ptr<SendWatch::Entry> sends;
  Handler& handler;
  InboundBytes bytes;
  AnswerOrder order;
  AsyncSignal run_ended;
  std::size_t running = 0;
  // The coroutines that read a request, handle one or close the connection.
  std::size_t work = 0;
  TimePoint idle_since = GetNow();
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SERVER_CONNECTION_H_
