#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_

#include <cstddef>
#include <memory>
#include <string_view>
#include <thread>

#include "Core/result.h"

namespace httplib {
class Server;
}  // namespace httplib

namespace lacewingbridge {

// A listening HTTP server on a thread of its own.
class HttpListener {
 public:
  // Each open connection holds one of the threads.
  explicit HttpListener(std::size_t thread_count);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // For adding handlers before Start.
  httplib::Server& GetServer() { return *this->server; }

  // Fails with kListenFailed when the address is taken.
  Status Start(std::string_view address);

  // Accepts no more connections and waits for requests in flight.
  void Stop();

 private:
  std::unique_ptr<httplib::Server> server;
  std::thread thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_LISTENER_H_
