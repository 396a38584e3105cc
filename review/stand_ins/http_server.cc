#include "stand_ins/http_server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "stand_ins/loopback_address.h"

namespace lacewingbridge::review {

namespace {

constexpr int kCannotRun = 2;
// A connection without a request for this time is closed.
constexpr Milliseconds kIdleLimit = std::chrono::seconds(60);

}  // namespace

HttpServer::HttpServer(const std::string& address, Handler request_handler)
    : handler(std::move(request_handler)) {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = ParseLoopback(address);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(this->listener, 128) != 0) {
    std::fprintf(stderr, "cannot listen on %s\n", address.c_str());
    std::exit(kCannotRun);
  }
  this->accepting = std::thread([this] { this->Accept(); });
}

void HttpServer::Accept() {
  while (true) {
    const int accepted = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) {
      return;
    }
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto stream = std::make_unique<HttpStream>(accepted);
    HttpStream& served = *stream;
    const std::lock_guard guard(this->mutex);
    if (this->stopped) {
      return;
    }
    this->connections.push_back(
        {std::move(stream), std::thread([this, &served] { this->Serve(served); })});
  }
}

void HttpServer::Serve(HttpStream& stream) {
  HttpMessage request;
  while (stream.Read(request, kIdleLimit) == ReadEnd::kWhole && this->handler(request, stream)) {
  }
  stream.Shutdown();
}

void HttpServer::Stop() {
  {
    const std::lock_guard guard(this->mutex);
    if (this->stopped) {
      return;
    }
    this->stopped = true;
    for (Connection& connection : this->connections) {
      connection.stream->Shutdown();
    }
  }
  shutdown(this->listener, SHUT_RDWR);
  this->accepting.join();
  close(this->listener);
  for (Connection& connection : this->connections) {
    connection.thread.join();
  }
  this->connections.clear();
}

}  // namespace lacewingbridge::review
