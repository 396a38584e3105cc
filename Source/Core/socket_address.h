#ifndef LACEWINGBRIDGE_SOURCE_CORE_SOCKET_ADDRESS_H_
#define LACEWINGBRIDGE_SOURCE_CORE_SOCKET_ADDRESS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "Core/result.h"

namespace lacewingbridge {

// IP address and port, as settings and messages write them: "10.0.0.1:8080" or
// "[::1]:8080". Names are not resolved.
class SocketAddress {
 public:
  static Result<SocketAddress> Parse(std::string_view text);

  const std::string& GetIp() const { return this->ip; }
  std::uint16_t GetPort() const { return this->port; }

 private:
  SocketAddress(std::string_view ip_text, std::uint16_t port_number)
      : ip(ip_text), port(port_number) {}

  std::string ip;
  std::uint16_t port = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_SOCKET_ADDRESS_H_
