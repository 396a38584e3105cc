#ifndef LACEWINGBRIDGE_TESTS_FAKES_KEEP_ALIVE_TARGET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_KEEP_ALIVE_TARGET_H_

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "Fakes/raw_target.h"

namespace lacewingbridge {

// What a KeepAliveTarget does after it has read a request.
struct TargetReply {
  std::string bytes;
  // Written repeatedly until the other side closes the connection.
  std::string endless;
  // Delay between two of these writes.
  std::chrono::milliseconds pause{0};
  bool close = false;
};

// A target on loopback with keep-alive connections. A function of the test determines every byte
// that the target sends, so that a test can produce faults that span two requests.
class KeepAliveTarget {
 public:
  // Called with each request and its number, starting at 1. Health checks on /health get the given
  // bytes and are not counted.
  using Script = std::function<TargetReply(const std::string& request, int number)>;

  KeepAliveTarget(Script target_script, std::string health_bytes)
      : script(std::move(target_script)), health(std::move(health_bytes)) {
    this->listener = OpenSocket(this->port);
    listen(this->listener, 64);
    this->thread = std::thread([this] { this->Accept(); });
  }

  ~KeepAliveTarget() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
    for (const int connection : this->connections) {
      shutdown(connection, SHUT_RDWR);
    }
    for (std::thread& server : this->servers) {
      server.join();
    }
    for (const int connection : this->connections) {
      close(connection);
    }
  }

  KeepAliveTarget(const KeepAliveTarget&) = delete;
  KeepAliveTarget& operator=(const KeepAliveTarget&) = delete;

  std::string GetAddress() const { return "127.0.0.1:" + std::to_string(this->port); }

  // Returns the number of bytes of all endless replies that the other side has accepted.
  std::size_t CountEndlessBytes() const { return this->endless_bytes; }

  int CountRequests() {
    const std::lock_guard guard(this->mutex);
    return this->requests;
  }

 private:
  void Accept() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      this->connections.push_back(connection);
      this->servers.emplace_back([this, connection] { this->Serve(connection); });
    }
  }

  void Serve(int connection) {
    std::string bytes;
    while (true) {
      const std::string request = ReadRequest(connection, bytes);
      if (request.empty()) {
        break;
      }
      if (request.starts_with("GET /health ")) {
        Write(connection, this->health);
        continue;
      }
      TargetReply reply;
      {
        const std::lock_guard guard(this->mutex);
        reply = this->script(request, ++this->requests);
      }
      bool open = Write(connection, reply.bytes);
      while (open && !reply.endless.empty()) {
        open = Write(connection, reply.endless);
        this->endless_bytes += open ? reply.endless.size() : 0;
        std::this_thread::sleep_for(reply.pause);
      }
      if (!open || reply.close) {
        break;
      }
    }
    shutdown(connection, SHUT_RDWR);
  }

  static bool Write(int connection, const std::string& bytes) {
    return send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(bytes.size());
  }

  Script script;
  std::string health;
  int listener = -1;
  int port = 0;
  std::vector<int> connections;
  std::vector<std::thread> servers;
  std::thread thread;
  std::mutex mutex;
  int requests = 0;
  std::atomic<std::size_t> endless_bytes{0};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_KEEP_ALIVE_TARGET_H_
