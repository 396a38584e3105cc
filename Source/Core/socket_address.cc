#include "Core/socket_address.h"

#include <algorithm>
#include <charconv>

namespace lacewingbridge {

namespace {

Error MakeError(std::string_view text) {
  return {ErrorKind::kInvalidArgument,
          "\"" + std::string(text) + "\" is not IP:PORT, for example 127.0.0.1:8080"};
}

bool IsIpText(std::string_view text) {
  constexpr std::string_view kPermitted = "0123456789abcdefABCDEF.:";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char letter) {
    return kPermitted.find(letter) != std::string_view::npos;
  });
}

}  // namespace

Result<SocketAddress> SocketAddress::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return MakeError(text);
  }
  std::string_view ip_text = text.substr(0, colon);
  if (ip_text.size() > 2 && ip_text.front() == '[' && ip_text.back() == ']') {
    ip_text = ip_text.substr(1, ip_text.size() - 2);
  }
  const std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port_number = 0;
  const auto [end, code] =
      std::from_chars(port_text.data(), port_text.data() + port_text.size(), port_number);
  const bool whole = code == std::errc() && end == port_text.data() + port_text.size();
  if (!IsIpText(ip_text) || !whole || port_number == 0) {
    return MakeError(text);
  }
  return SocketAddress(ip_text, port_number);
}

}  // namespace lacewingbridge
