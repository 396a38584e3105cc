#ifndef LACEWINGBRIDGE_TESTS_FAKES_HTTP_LOOPBACK_H_
#define LACEWINGBRIDGE_TESTS_FAKES_HTTP_LOOPBACK_H_

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Http/asio_types.h"
#include "Http/io_shard.h"
#include "Http/server_connection.h"

namespace lacewingbridge {

// Handles requests with a function of the test.
class FunctionHandler {
 public:
  using Function = std::function<Awaitable<void>(ServerExchange&)>;

  explicit FunctionHandler(Function handler_function) : respond(std::move(handler_function)) {}

  Awaitable<void> Handle(IoShard&, ServerExchange& exchange) { co_await this->respond(exchange); }
  bool MayRepeat(const ServerExchange&) const { return true; }
  ServerLimits GetLimits() const { return this->limits; }
  void NoteOpened() { ++this->opened; }
  void NoteClosed() { ++this->closed; }
  void NoteBusy() { ++this->busy; }
  void NoteIdle() { --this->busy; }

  ServerLimits limits;
  int opened = 0;
  int closed = 0;
  int busy = 0;

 private:
  Function respond;
};

// A server connection whose client side the test writes and reads byte by byte. All of it runs on
// one thread.
class HttpLoopback {
 public:
  explicit HttpLoopback(FunctionHandler& handler) : shard(1), client(this->shard.GetContext()) {
    asio::ip::tcp::acceptor acceptor(this->shard.GetContext(),
                                     asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    this->client.connect(acceptor.local_endpoint());
    TcpSocket accepted = acceptor.accept();
    std::make_shared<ServerConnection<FunctionHandler>>(this->shard, std::move(accepted), handler)
        ->Start();
  }

  void Write(std::string_view text) {
    asio::write(this->client, asio::buffer(text.data(), text.size()));
  }

  // Runs the connection until it has been idle for a moment, and returns the bytes that it has sent
  // since the last call.
  std::string Read() {
    // Long enough for all events of a loopback connection. A test that has to wait longer calls
    // Read again.
    constexpr auto kQuiet = std::chrono::milliseconds(20);
    std::string received;
    for (int quiet = 0; quiet < 3;) {
      this->shard.GetContext().restart();
      this->shard.GetContext().run_for(kQuiet);
      const std::string part = this->ReadAvailable();
      quiet = part.empty() ? quiet + 1 : 0;
      received += part;
    }
    return received;
  }

  // Runs the connection while the client reads nothing.
  void RunFor(std::chrono::milliseconds time) {
    this->shard.GetContext().restart();
    this->shard.GetContext().run_for(time);
  }

  void Close() {
    ErrorCode ignored;
    this->client.close(ignored);
  }

  // The client sends no more, and still reads.
  void EndWriting() {
    ErrorCode ignored;
    this->client.shutdown(TcpSocket::shutdown_send, ignored);
  }

  // Whether the server has closed the connection.
  bool IsEnded() const { return this->ended; }
  // Whether it did so with a reset.
  bool WasReset() const { return this->reset; }
  IoShard& GetShard() { return this->shard; }

 private:
  std::string ReadAvailable() {
    std::string received;
    std::string part(64 * 1024, '\0');
    ErrorCode code;
    this->client.non_blocking(true, code);
    while (!code) {
      const std::size_t count = this->client.read_some(asio::buffer(part), code);
      received.append(part, 0, count);
    }
    this->reset = this->reset || code == asio::error::connection_reset;
    this->ended = this->ended || code != asio::error::would_block;
    this->client.non_blocking(false, code);
    return received;
  }

  IoShard shard;
  TcpSocket client;
  bool ended = false;
  bool reset = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_HTTP_LOOPBACK_H_
