#include "Daemon/http_server_stream.h"

#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>

namespace lacewingbridge {

namespace {

using GetAddress = int (*)(int descriptor, sockaddr* address, socklen_t* size);

void ReadAddress(socket_t descriptor, GetAddress get_address, std::string& ip, int& port) {
  sockaddr_storage storage{};
  socklen_t size = sizeof(storage);
  auto* address = reinterpret_cast<sockaddr*>(&storage);
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> service{};
  if (get_address(descriptor, address, &size) != 0 ||
      getnameinfo(address, size, host.data(), host.size(), service.data(), service.size(),
                  NI_NUMERICHOST | NI_NUMERICSERV) != 0) {
    return;
  }
  ip = host.data();
  std::from_chars(service.data(), service.data() + std::strlen(service.data()), port);
}

}  // namespace

bool WaitForSocket(socket_t descriptor, std::int16_t events, std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  pollfd entry{descriptor, events, 0};
  while (true) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        until - std::chrono::steady_clock::now());
    const int count = poll(&entry, 1, static_cast<int>(std::max<std::int64_t>(left.count(), 0)));
    if (count >= 0 || errno != EINTR) {
      return count > 0;
    }
  }
}

HttpServerStream::HttpServerStream(socket_t connected, std::chrono::milliseconds reading,
                                   std::chrono::milliseconds writing)
    : descriptor(connected), read_limit(reading), write_limit(writing) {}

bool HttpServerStream::is_readable() const {
  return this->HasBufferedBytes() || WaitForSocket(this->descriptor, POLLIN, this->read_limit);
}

bool HttpServerStream::is_writable() const {
  return WaitForSocket(this->descriptor, POLLOUT, this->write_limit);
}

ssize_t HttpServerStream::read(char* bytes, std::size_t max_size) {
  if (!this->HasBufferedBytes()) {
    if (!this->is_readable()) {
      return -1;
    }
    // A large read goes directly to the caller's buffer, without a copy.
    if (max_size >= this->buffer.size()) {
      return recv(this->descriptor, bytes, max_size, 0);
    }
    const ssize_t received = recv(this->descriptor, this->buffer.data(), this->buffer.size(), 0);
    if (received <= 0) {
      return received;
    }
    this->position = 0;
    this->size = static_cast<std::size_t>(received);
  }
  const std::size_t taken = std::min(max_size, this->size - this->position);
  std::memcpy(bytes, this->buffer.data() + this->position, taken);
  this->position += taken;
  return static_cast<ssize_t>(taken);
}

ssize_t HttpServerStream::write(const char* bytes, std::size_t count) {
  if (!this->is_writable()) {
    return -1;
  }
  return send(this->descriptor, bytes, count, MSG_NOSIGNAL);
}

void HttpServerStream::get_remote_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(this->descriptor, getpeername, ip, port);
}

void HttpServerStream::get_local_ip_and_port(std::string& ip, int& port) const {
  ReadAddress(this->descriptor, getsockname, ip, port);
}

}  // namespace lacewingbridge
