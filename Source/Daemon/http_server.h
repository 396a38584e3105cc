#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_H_

#include <httplib.h>

#include <functional>
#include <mutex>
#include <set>
#include <utility>

namespace lacewingbridge {

// HTTP server of the library with a different loop for each connection. The library's own loop
// wakes up about 90 times a second for an idle connection, and after stop() it keeps the
// connection open until its time limit. A connection ends behind the first response that has the
// header "Connection: close".
class HttpServer : public httplib::Server {
 public:
  HttpServer();

  // Sets a function that is called with each request before its body is read.
  void SetRequestHook(std::function<void(httplib::Request&)> hook) {
    this->request_hook = std::move(hook);
  }

  // Closes idle connections at once and the others after their request. Must be called after
  // stop(). A request that was received before still gets its response, unless it lies behind one
  // whose response closes the connection.
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
