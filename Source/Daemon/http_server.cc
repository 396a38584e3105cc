#include "Daemon/http_server.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>

#include "Daemon/http_server_stream.h"

namespace lacewingbridge {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

// Time for the client to read the last response.
constexpr milliseconds kCloseLimit{1000};

milliseconds MakeLimit(time_t whole_seconds, time_t further_microseconds) {
  return duration_cast<milliseconds>(seconds(whole_seconds) + microseconds(further_microseconds));
}

// Reads until the client has closed its side. If a socket is closed with unread bytes, the system
// resets the connection and discards what the client has not received.
void DiscardUntilEnd(socket_t descriptor) {
  std::array<char, 4096> discarded{};
  const auto until = steady_clock::now() + kCloseLimit;
  while (true) {
    const auto left = duration_cast<milliseconds>(until - steady_clock::now());
    if (left <= milliseconds(0) || !WaitForSocket(descriptor, POLLIN, left) ||
        recv(descriptor, discarded.data(), discarded.size(), 0) <= 0) {
      return;
    }
  }
}

// Whether the response that this thread has written last closes its connection. A connection is
// served by one thread.
thread_local bool response_closes = false;

}  // namespace

HttpServer::HttpServer() {
  // Runs after the library has added its own headers. The library closes a connection only if the
  // request or the loop asks for it, not if a handler has set the header.
  this->set_post_routing_handler([](const httplib::Request&, httplib::Response& response) {
    response_closes = response.get_header_value("Connection") == "close";
    if (response_closes) {
      response.headers.erase("Keep-Alive");
      response.headers.erase("Connection");
      response.set_header("Connection", "close");
    }
  });
}

void HttpServer::CloseConnections() {
  const std::lock_guard guard(this->mutex);
  this->closing = true;
  for (const socket_t descriptor : this->waiting) {
    // Ends the wait; bytes already received can still be read.
    shutdown(descriptor, SHUT_RD);
  }
}

bool HttpServer::process_and_close_socket(socket_t descriptor) {
  HttpServerStream stream(descriptor, MakeLimit(this->read_timeout_sec_, this->read_timeout_usec_),
                          MakeLimit(this->write_timeout_sec_, this->write_timeout_usec_));
  bool succeeded = false;
  bool idle = false;
  for (std::size_t left = this->keep_alive_max_count_; left > 0; --left) {
    if (!stream.HasBufferedBytes() && !this->WaitForRequest(descriptor)) {
      idle = true;
      break;
    }
    bool closed = false;
    const bool close_after = left == 1 || this->IsClosing();
    succeeded = this->process_request(stream, close_after, closed, this->request_hook);
    if (!succeeded || closed || response_closes) {
      break;
    }
  }
  shutdown(descriptor, SHUT_WR);
  if (!idle) {
    DiscardUntilEnd(descriptor);
  }
  close(descriptor);
  return succeeded;
}

bool HttpServer::WaitForRequest(socket_t descriptor) {
  milliseconds limit = seconds(this->keep_alive_timeout_sec_);
  {
    const std::lock_guard guard(this->mutex);
    if (this->closing) {
      limit = milliseconds(0);
    } else {
      this->waiting.insert(descriptor);
    }
  }
  const bool received = WaitForSocket(descriptor, POLLIN, limit);
  const std::lock_guard guard(this->mutex);
  this->waiting.erase(descriptor);
  return received;
}

bool HttpServer::IsClosing() {
  const std::lock_guard guard(this->mutex);
  return this->closing;
}

}  // namespace lacewingbridge
