#include "Daemon/connection_probe.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "Core/socket_address.h"

namespace lacewingbridge {

using boost::asio::ip::tcp;

bool IsConnectionRefused(const std::string& address, std::chrono::milliseconds limit) {
  const Result<SocketAddress> parsed = SocketAddress::Parse(address);
  if (!IsOk(parsed)) {
    return false;
  }
  boost::system::error_code code;
  const auto ip = boost::asio::ip::make_address(GetValue(parsed).GetIp(), code);
  if (code) {
    return false;
  }
  boost::asio::io_context context;
  tcp::socket socket(context);
  bool refused = false;
  socket.async_connect(tcp::endpoint(ip, GetValue(parsed).GetPort()),
                       [&refused](const boost::system::error_code& result) {
                         refused = result == boost::asio::error::connection_refused;
                       });
  context.run_for(limit);
  return refused;
}

}  // namespace lacewingbridge
