#ifndef LACEWINGBRIDGE_TESTS_FAKES_RAW_TARGET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_RAW_TARGET_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lacewingbridge {

// Returns a socket that is bound to a free loopback port.
inline int OpenSocket(int& port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  bind(descriptor, reinterpret_cast<sockaddr*>(&address), size);
  getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return descriptor;
}

// Returns a loopback address on which nothing listens. The port is below those that the operating
// system gives to outgoing connections, which could take it before it is listened on, and tests
// that run at the same time begin at different ports.
inline std::string FindFreeAddress() {
  constexpr int kFirstPort = 10'000;
  constexpr int kPortCount = 16'000;
  constexpr int kPortsPerProcess = 64;
  static std::atomic<int> taken{0};
  while (true) {
    const int port = kFirstPort + (getpid() * kPortsPerProcess + taken++) % kPortCount;
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    close(descriptor);
    if (free) {
      return "127.0.0.1:" + std::to_string(port);
    }
  }
}

// Removes one request with its body from the bytes read so far and returns it. Reads more bytes
// until the request is complete. If the connection ends before, returns the bytes that have
// arrived.
inline std::string ReadRequest(int connection, std::string& bytes) {
  std::array<char, 65536> buffer{};
  while (true) {
    const std::size_t head = bytes.find("\r\n\r\n");
    if (head != std::string::npos) {
      const std::size_t field = bytes.find("Content-Length: ");
      const std::size_t body = field < head ? std::stoul(bytes.substr(field + 16)) : 0;
      if (bytes.size() >= head + 4 + body) {
        std::string request = bytes.substr(0, head + 4 + body);
        bytes.erase(0, request.size());
        return request;
      }
    }
    const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      return std::exchange(bytes, {});
    }
    bytes.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

// A target on loopback that responds to the first request of each connection with given bytes and
// then closes it, so that a test determines every byte of a response.
class RawTarget {
 public:
  // Health checks on the path /health get health_bytes, unless it is empty.
  explicit RawTarget(std::string response_bytes, std::string health_bytes = "")
      : response(std::move(response_bytes)), health(std::move(health_bytes)) {
    this->listener = OpenSocket(this->port);
    listen(this->listener, 64);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~RawTarget() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  std::string GetAddress() const { return "127.0.0.1:" + std::to_string(this->port); }

  // Returns the bytes of every request so far.
  std::vector<std::string> ListRequests() {
    const std::lock_guard guard(this->mutex);
    return this->requests;
  }

 private:
  void Run() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      std::string bytes;
      const std::string request = ReadRequest(connection, bytes);
      {
        const std::lock_guard guard(this->mutex);
        this->requests.push_back(request);
      }
      const bool is_check = !this->health.empty() && request.starts_with("GET /health ");
      const std::string& reply = is_check ? this->health : this->response;
      send(connection, reply.data(), reply.size(), MSG_NOSIGNAL);
      close(connection);
    }
  }

  std::string response;
  std::string health;
  int listener = -1;
  int port = 0;
  std::thread thread;
  std::mutex mutex;
  std::vector<std::string> requests;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_RAW_TARGET_H_
