#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_SERVER_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_SERVER_H_

#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "stand_ins/http_stream.h"

namespace lacewingbridge::review {

// Accepts connections on a loopback address, with a thread for each of them.
class HttpServer {
 public:
  // Handles a request and writes the answer; false closes the connection.
  using Handler = std::function<bool(const HttpMessage& request, HttpStream& stream)>;

  // Ends the program if the address cannot be bound.
  HttpServer(const std::string& address, Handler request_handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer() { this->Stop(); }

  // Closes the listener and all connections.
  void Stop();

 private:
  struct Connection {
    std::unique_ptr<HttpStream> stream;
    std::thread thread;
  };

  void Accept();
  void Serve(HttpStream& stream);

  const Handler handler;
  int listener = -1;
  std::mutex mutex;
  bool stopped = false;
  std::list<Connection> connections;
  std::thread accepting;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_SERVER_H_
