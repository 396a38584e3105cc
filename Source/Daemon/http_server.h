#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_H_

#include <httplib.h>

#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace lacewingbridge {

// The library's server with another loop for each connection: the library's own loop
// wakes up about 90 times a second for an idle connection, and keeps it after stop()
// until its time limit.
class HttpServer : public httplib::Server {
 public:
  // Called with each request before its body is read.
  void SetRequestHook(std::function<void(httplib::Request&)> hook) {
    this->request_hook = std::move(hook);
  }

  // To be called after stop(): ends idle connections now and the others after their
  // request. A request that was received before is still answered.
  void CloseConnections();

 private:
  // Overrides the library's loop of one connection.
  bool process_and_close_socket(socket_t descriptor) override;

  bool WaitForRequest(socket_t descriptor);
  bool IsClosing();

  std::function<void(httplib::Request&)> request_hook;
  std::mutex mutex;
  // Connections that wait for a request.
  std::set<socket_t> waiting;
  bool closing = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_H_
