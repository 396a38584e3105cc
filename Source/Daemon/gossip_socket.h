#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_GOSSIP_SOCKET_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_GOSSIP_SOCKET_H_

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

#include "Core/result.h"

namespace lacewingbridge {

// Sends and receives gossip datagrams and runs a periodic tick, all on one thread.
class GossipSocket {
 public:
  // Both handlers are called on the thread of the socket.
  struct Handlers {
    std::function<void(std::string_view bytes, const std::string& from)> receive;
    std::function<void()> tick;
  };

  // Opens the UDP port. Fails with kListenFailed when the port cannot be bound.
  static Result<std::unique_ptr<GossipSocket>> Create(const std::string& address,
                                                      std::chrono::milliseconds tick_interval,
                                                      Handlers handlers);
  ~GossipSocket();
  GossipSocket(const GossipSocket&) = delete;
  GossipSocket& operator=(const GossipSocket&) = delete;

  void Start();
  void Stop();

  // Sends a datagram to the address of the peer. May be called from any thread. A datagram
  // that cannot be sent is dropped, like one that is lost on the network.
  void Send(const std::string& peer, std::string_view bytes);

  std::uint64_t GetBytesSent() const { return this->bytes_sent.load(); }
  std::uint64_t GetBytesReceived() const { return this->bytes_received.load(); }

 private:
  // Larger than any datagram that a daemon sends, so that oversized ones are noticed.
  static constexpr std::size_t kReceiveBufferBytes = 65536;

  GossipSocket(std::chrono::milliseconds interval, Handlers given);

  void ReceiveNext();
  void ScheduleTick();

  boost::asio::io_context context;
  boost::asio::ip::udp::socket socket;
  boost::asio::steady_timer timer;
  std::chrono::milliseconds tick_interval;
  Handlers handlers;
  std::array<char, kReceiveBufferBytes> buffer{};
  boost::asio::ip::udp::endpoint sender;
  std::thread thread;
  std::atomic<std::uint64_t> bytes_sent{0};
  std::atomic<std::uint64_t> bytes_received{0};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_GOSSIP_SOCKET_H_
