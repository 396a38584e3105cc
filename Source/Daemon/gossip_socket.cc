#include "Daemon/gossip_socket.h"

#include <fmt/core.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>
#include <utility>

#include "Core/socket_address.h"

namespace lacewingbridge {

using boost::asio::ip::udp;

namespace {

std::string FormatEndpoint(const udp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  return endpoint.address().is_v6() ? fmt::format("[{}]:{}", ip, endpoint.port())
                                    : fmt::format("{}:{}", ip, endpoint.port());
}

Result<udp::endpoint> MakeEndpoint(std::string_view address) {
  const Result<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!IsOk(parsed)) {
    return GetError(parsed);
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(GetValue(parsed).GetIp(), code);
  if (code) {
    return Error{ErrorKind::kInvalidArgument, std::string(address)};
  }
  return udp::endpoint(ip, GetValue(parsed).GetPort());
}

}  // namespace

Result<std::unique_ptr<GossipSocket>> GossipSocket::Create(const std::string& address,
                                                           std::chrono::milliseconds tick_interval,
                                                           Handlers handlers) {
  const Result<udp::endpoint> endpoint = MakeEndpoint(address);
  if (!IsOk(endpoint)) {
    return GetError(endpoint);
  }
  std::unique_ptr<GossipSocket> result(new GossipSocket(tick_interval, std::move(handlers)));
  boost::system::error_code code;
  result->socket.open(GetValue(endpoint).protocol(), code);
  if (!code) {
    result->socket.bind(GetValue(endpoint), code);
  }
  if (code) {
    return Error{ErrorKind::kListenFailed, fmt::format("UDP {}: {}", address, code.message())};
  }
  return result;
}

GossipSocket::GossipSocket(std::chrono::milliseconds interval, Handlers given)
    : socket(this->context),
      timer(this->context),
      tick_interval(interval),
      handlers(std::move(given)) {}

GossipSocket::~GossipSocket() { this->Stop(); }

void GossipSocket::Start() {
  this->ReceiveNext();
  this->ScheduleTick();
  this->thread = std::thread([this] { this->context.run(); });
}

void GossipSocket::Stop() {
  this->context.stop();
  if (this->thread.joinable()) {
    this->thread.join();
  }
}

void GossipSocket::Send(const std::string& peer, std::string_view bytes) {
  const Result<udp::endpoint> endpoint = MakeEndpoint(peer);
  if (!IsOk(endpoint)) {
    return;
  }
  boost::system::error_code code;
  const std::size_t sent = this->socket.send_to(boost::asio::buffer(bytes.data(), bytes.size()),
                                                GetValue(endpoint), 0, code);
  this->bytes_sent += code ? 0 : sent;
}

void GossipSocket::ReceiveNext() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const boost::system::error_code& code, std::size_t size) {
        if (code == boost::asio::error::operation_aborted) {
          return;
        }
        if (!code) {
          this->bytes_received += size;
          this->handlers.receive({this->buffer.data(), size}, FormatEndpoint(this->sender));
        }
        this->ReceiveNext();
      });
}

void GossipSocket::ScheduleTick() {
  this->timer.expires_after(this->tick_interval);
  this->timer.async_wait([this](const boost::system::error_code& code) {
    if (code) {
      return;
    }
    this->handlers.tick();
    this->ScheduleTick();
  });
}

}  // namespace lacewingbridge
