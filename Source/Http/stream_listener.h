#ifndef LACEWINGBRIDGE_SOURCE_HTTP_STREAM_LISTENER_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_STREAM_LISTENER_H_

#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Core/result.h"
#include "Core/socket_address.h"
#include "Http/asio_types.h"
#include "Http/io_shard.h"
#include "Http/server_connection.h"

namespace lacewingbridge {

// Accepts connections on an address and deals them out to the shards in turn.
template <ExchangeHandler Handler>
class StreamListener {
 public:
  // The shards and the handler have to outlive the listener.
  static Result<std::unique_ptr<StreamListener>> Create(
      std::string_view address, std::span<const std::unique_ptr<IoShard>> io_shards,
      Handler& exchange_handler) {
    const Result<SocketAddress> parsed = SocketAddress::Parse(address);
    if (!IsOk(parsed)) {
      return GetError(parsed);
    }
    std::unique_ptr<StreamListener> listener(new StreamListener(io_shards, exchange_handler));
    ErrorCode code;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(GetValue(parsed).GetIp(), code),
                                           GetValue(parsed).GetPort());
    listener->Open(endpoint, code);
    if (code) {
      return Error{ErrorKind::kListenFailed, std::string(address) + ": " + code.message()};
    }
    return listener;
  }

  void Start() {
    asio::co_spawn(
        this->shards[0]->GetContext(), [this]() -> Awaitable<void> { co_await this->Accept(); },
        asio::detached);
  }

  // May be called from any thread. The listener has to outlive its shards' threads.
  void Stop() {
    asio::post(this->shards[0]->GetContext(), [this] {
      ErrorCode ignored;
      this->acceptor.close(ignored);
    });
  }

 private:
  // Connections of a burst that wait to be accepted.
  static constexpr int kBacklog = 1024;

  StreamListener(std::span<const std::unique_ptr<IoShard>> io_shards, Handler& exchange_handler)
      : shards(io_shards), handler(exchange_handler), acceptor(io_shards[0]->GetContext()) {}

  void Open(const asio::ip::tcp::endpoint& endpoint, ErrorCode& code) {
    if (!code) {
      this->acceptor.open(endpoint.protocol(), code);
    }
    if (!code) {
      this->acceptor.set_option(asio::socket_base::reuse_address(true), code);
    }
    if (!code) {
      this->acceptor.bind(endpoint, code);
    }
    if (!code) {
      this->acceptor.listen(kBacklog, code);
    }
  }

  Awaitable<void> Accept() {
    // Pause after a failure, mostly the lack of descriptors; connections end meanwhile.
    constexpr Duration kFailurePause = std::chrono::milliseconds(20);
    while (this->acceptor.is_open()) {
      IoShard& shard = *this->shards[this->next_shard++ % this->shards.size()];
      TcpSocket socket(shard.GetContext());
      ErrorCode code;
      co_await this->acceptor.async_accept(socket, AwaitInto(code));
      if (!code) {
        asio::post(shard.GetContext(),
                   [connection = std::make_shared<ServerConnection<Handler>>(
                        shard, std::move(socket), this->handler)] { connection->Start(); });
      } else if (this->acceptor.is_open()) {
        asio::steady_timer pause(this->shards[0]->GetContext(), kFailurePause);
        co_await pause.async_wait(AwaitInto(code));
      }
    }
  }

  std::span<const std::unique_ptr<IoShard>> shards;
  Handler& handler;
  asio::ip::tcp::acceptor acceptor;
  std::size_t next_shard = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_STREAM_LISTENER_H_
