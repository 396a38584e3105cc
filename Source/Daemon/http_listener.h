#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>
#include <thread>

#include "Core/result.h"

namespace httplib {
struct Request;
class Server;
}  // namespace httplib

namespace lacewingbridge {

class HttpServer;

// HTTP server that listens on one address on a thread of its own.
class HttpListener {
 public:
  // Each open connection occupies one of the threads.
  explicit HttpListener(std::size_t thread_count);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // The server to which handlers are added before Start.
  httplib::Server& GetServer();

  // Sets a function that is called with each request before its body is read. Must be called
  // before Start.
  void SetRequestHook(std::function<void(httplib::Request&)> hook);

  // Fails with kListenFailed when the address is in use.
  Status Start(std::string_view address);

  // Accepts no more connections, closes idle ones and waits for requests in flight.
  void Stop();

 private:
  std::unique_ptr<HttpServer> server;
  std::thread thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_
