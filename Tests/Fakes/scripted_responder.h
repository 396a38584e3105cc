#ifndef LACEWINGBRIDGE_TESTS_FAKES_SCRIPTED_RESPONDER_H_
#define LACEWINGBRIDGE_TESTS_FAKES_SCRIPTED_RESPONDER_H_

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <mutex>
#include <string>
#include <thread>

#include "Fakes/raw_target.h"

namespace lacewingbridge {

// What a ScriptedResponder sends on its next connection.
struct ResponseScript {
  std::string bytes;
  // Sent on its own before the rest.
  std::size_t first_bytes = 0;
  // Ends the connection with a reset instead of in order.
  bool reset = false;
};

// Responds to one request on each connection of a loopback address, without a delay.
class ScriptedResponder {
 public:
  ScriptedResponder() {
    this->listener = OpenSocket(this->port);
    listen(this->listener, 64);
    this->thread = std::thread([this] { this->Run(); });
  }

  ~ScriptedResponder() {
    shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    close(this->listener);
  }

  ScriptedResponder(const ScriptedResponder&) = delete;
  ScriptedResponder& operator=(const ScriptedResponder&) = delete;

  std::string GetAddress() const { return "127.0.0.1:" + std::to_string(this->port); }

  void SetScript(const ResponseScript& next) {
    const std::lock_guard guard(this->mutex);
    this->script = next;
  }

 private:
  void Run() {
    while (true) {
      const int connection = accept(this->listener, nullptr, nullptr);
      if (connection < 0) {
        return;
      }
      const int enabled = 1;
      setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
      std::string bytes;
      ReadRequest(connection, bytes);
      ResponseScript current;
      {
        const std::lock_guard guard(this->mutex);
        current = this->script;
      }
      const std::string& sent = current.bytes;
      send(connection, sent.data(), current.first_bytes, MSG_NOSIGNAL);
      send(connection, sent.data() + current.first_bytes, sent.size() - current.first_bytes,
           MSG_NOSIGNAL);
      if (current.reset) {
        const linger no_linger{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &no_linger, sizeof(no_linger));
      }
      close(connection);
    }
  }

  int listener = -1;
  int port = 0;
  std::thread thread;
  std::mutex mutex;
  ResponseScript script;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_SCRIPTED_RESPONDER_H_
