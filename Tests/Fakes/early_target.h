#ifndef LACEWINGBRIDGE_TESTS_FAKES_EARLY_TARGET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_EARLY_TARGET_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <utility>

#include "Fakes/raw_target.h"

namespace lacewingbridge {

// How an EarlyTarget handles a request.
struct EarlyReply {
  // Written once the head of the request has arrived.
  std::string bytes;
  // Time until the end of the connection, during which nothing is read.
  std::chrono::milliseconds pause{0};
  // Resets the connection. Otherwise ends the response in order and reads the rest of the request.
  bool reset = false;
  // Written once the rest of the request has been read, in place of an early end.
  std::string late_bytes;
  // Ends the response in order and then resets the connection, without reading the rest.
  bool reset_after_end = false;
};

// A target on loopback that responds before it has read the body of a request.
class EarlyTarget {
 public:
  EarlyTarget(EarlyReply given_reply, std::string health_bytes)
      : reply(std::move(given_reply)), health(std::move(health_bytes)) {
    this->listener = OpenSocket(this->port);
    listen(this->listener, 64);
    this->thread = std::thread([this] { this->Accept(); });
  }

  ~EarlyTarget() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
    for (std::thread& server : this->servers) {
      server.join();
    }
  }

  EarlyTarget(const EarlyTarget&) = delete;
  EarlyTarget& operator=(const EarlyTarget&) = delete;

  std::string GetAddress() const { return "127.0.0.1:" + std::to_string(this->port); }

 private:
  void Accept() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      this->servers.emplace_back([this, connection] {
        this->Serve(connection);
        close(connection);
      });
    }
  }

  void Serve(int connection) const {
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      if (!Read(connection, request)) {
        return;
      }
    }
    const bool is_check = request.starts_with("GET /health ");
    const std::string& bytes = is_check ? this->health : this->reply.bytes;
    send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (is_check) {
      return;
    }
    std::this_thread::sleep_for(this->reply.pause);
    if (this->reply.reset) {
      const linger no_linger{1, 0};
      setsockopt(connection, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
      return;
    }
    if (!this->reply.late_bytes.empty()) {
      ReadRequest(connection, request);
      const std::string& late = this->reply.late_bytes;
      send(connection, late.data(), late.size(), MSG_NOSIGNAL);
      return;
    }
    shutdown(connection, SHUT_WR);
    if (this->reply.reset_after_end) {
      // Closing with unread bytes resets the connection.
      return;
    }
    while (Read(connection, request)) {
    }
  }

  static bool Read(int connection, std::string& bytes) {
    std::array<char, 65536> buffer{};
    const ssize_t count = recv(connection, buffer.data(), buffer.size(), 0);
    if (count > 0) {
      bytes.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return count > 0;
  }

  const EarlyReply reply;
  const std::string health;
  int listener = -1;
  int port = 0;
  std::list<std::thread> servers;
  std::thread thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_EARLY_TARGET_H_
