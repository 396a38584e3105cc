#include "stand_ins/http_stream.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <thread>

#include "stand_ins/loopback_address.h"

namespace lacewingbridge::review {

namespace {

bool WaitFor(int socket, short events, Clock::time_point until) {
  const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  pollfd waited{socket, events, 0};
  return poll(&waited, 1, left < 0 ? 0 : static_cast<int>(left)) > 0;
}

}  // namespace

std::string_view GetName(ReadEnd end) {
  switch (end) {
    case ReadEnd::kWhole:
      return "whole";
    case ReadEnd::kClosed:
      return "closed";
    case ReadEnd::kReset:
      return "reset";
    case ReadEnd::kTimedOut:
      return "timed out";
    case ReadEnd::kMalformed:
      return "malformed";
  }
  return "invalid";
}

std::unique_ptr<HttpStream> HttpStream::Connect(const std::string& address, Milliseconds limit) {
  const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  auto stream = std::make_unique<HttpStream>(made);
  const sockaddr_in to = ParseLoopback(address);
  if (connect(made, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0) {
    int error = 0;
    socklen_t size = sizeof(error);
    if (errno != EINPROGRESS || !WaitFor(made, POLLOUT, Clock::now() + limit) ||
        getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      return nullptr;
    }
  }
  fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return stream;
}

HttpStream::~HttpStream() { close(this->socket); }

void HttpStream::Shutdown() { shutdown(this->socket, SHUT_RDWR); }

bool HttpStream::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t sent = send(this->socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

ReadEnd HttpStream::ReadMore(Clock::time_point until) {
  if (!WaitFor(this->socket, POLLIN, until)) {
    return ReadEnd::kTimedOut;
  }
  char bytes[16 * 1024];
  const ssize_t received = recv(this->socket, bytes, sizeof(bytes), 0);
  if (received == 0) {
    return ReadEnd::kClosed;
  }
  if (received < 0) {
    return ReadEnd::kReset;
  }
  this->buffer.append(bytes, static_cast<std::size_t>(received));
  return ReadEnd::kWhole;
}

ReadEnd HttpStream::ReadUpTo(std::size_t size, Clock::time_point until) {
  ReadEnd end = ReadEnd::kWhole;
  while (this->buffer.size() < size && end == ReadEnd::kWhole) {
    end = this->ReadMore(until);
  }
  return end;
}

ReadEnd HttpStream::ReadChunks(HttpMessage& message, Clock::time_point until) {
  while (true) {
    std::size_t line = this->buffer.find("\r\n");
    while (line == std::string::npos) {
      const ReadEnd end = this->ReadMore(until);
      if (end != ReadEnd::kWhole) {
        return end;
      }
      line = this->buffer.find("\r\n");
    }
    const std::size_t size = std::strtoul(this->buffer.c_str(), nullptr, 16);
    const ReadEnd end = this->ReadUpTo(line + 2 + size + 2, until);
    if (end != ReadEnd::kWhole) {
      return end;
    }
    message.body += this->buffer.substr(line + 2, size);
    this->buffer.erase(0, line + 2 + size + 2);
    if (size == 0) {
      return ReadEnd::kWhole;
    }
  }
}

ReadEnd HttpStream::Read(HttpMessage& message, Milliseconds limit) {
  const Clock::time_point until = Clock::now() + limit;
  message = HttpMessage();
  std::size_t head_end = this->buffer.find("\r\n\r\n");
  while (head_end == std::string::npos) {
    const ReadEnd end = this->ReadMore(until);
    if (end != ReadEnd::kWhole) {
      return end;
    }
    head_end = this->buffer.find("\r\n\r\n");
  }
  const std::string head = this->buffer.substr(0, head_end + 2);
  this->buffer.erase(0, head_end + 4);
  std::size_t begin = head.find("\r\n");
  message.start_line = head.substr(0, begin);
  for (begin += 2; begin < head.size();) {
    const std::size_t end = head.find("\r\n", begin);
    const std::string line = head.substr(begin, end - begin);
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) {
      return ReadEnd::kMalformed;
    }
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(line.substr(0, colon),
                                 value == std::string::npos ? "" : line.substr(value));
    begin = end + 2;
  }
  if (message.GetHeader("Transfer-Encoding") == "chunked") {
    return this->ReadChunks(message, until);
  }
  const std::size_t size = std::strtoul(message.GetHeader("Content-Length").c_str(), nullptr, 10);
  const ReadEnd end = this->ReadUpTo(size, until);
  if (end == ReadEnd::kWhole) {
    message.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
  }
  return end;
}

void HttpStream::WaitForClose(Milliseconds limit) {
  const Clock::time_point until = Clock::now() + limit;
  while (this->ReadMore(until) == ReadEnd::kWhole) {
    this->buffer.clear();
  }
}

}  // namespace lacewingbridge::review
