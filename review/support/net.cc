#include "support/net.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <memory>

namespace review {

namespace {

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) {
    return std::tolower(static_cast<unsigned char>(a)) ==
           std::tolower(static_cast<unsigned char>(b));
  });
}

sockaddr_in MakeAddress(const Address& address) {
  sockaddr_in made{};
  made.sin_family = AF_INET;
  made.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &made.sin_addr);
  return made;
}

int GetMillisecondsLeft(TimePoint until) {
  const auto left = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
  return static_cast<int>(std::clamp<std::int64_t>(left, 0, 600'000));
}

}  // namespace

std::string Message::Get(std::string_view name) const {
  for (const auto& [field, value] : this->fields) {
    if (EqualsIgnoringCase(field, name)) {
      return value;
    }
  }
  return {};
}

std::string Message::GetMethod() const { return this->start.substr(0, this->start.find(' ')); }

std::string Message::GetTarget() const {
  const std::size_t begin = this->start.find(' ') + 1;
  return this->start.substr(begin, this->start.find(' ', begin) - begin);
}

int Message::GetStatus() const {
  const std::size_t blank = this->start.find(' ');
  return blank == std::string::npos ? 0 : std::atoi(this->start.c_str() + blank + 1);
}

std::string Message::Serialize() const {
  std::string text = this->start + "\r\n";
  for (const auto& [field, value] : this->fields) {
    text += field + ": " + value + "\r\n";
  }
  if (this->Get("Content-Length").empty() && this->Get("Transfer-Encoding").empty()) {
    text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
  }
  return text + "\r\n" + this->body;
}

Stream::~Stream() { this->Close(); }

bool Stream::Write(std::string_view bytes) {
  while (!bytes.empty()) {
    const ssize_t written = send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (written <= 0) {
      return false;
    }
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

int Stream::Fill(TimePoint until) {
  pollfd waited{this->fd, POLLIN, 0};
  if (poll(&waited, 1, GetMillisecondsLeft(until)) <= 0) {
    return -2;
  }
  char bytes[16384];
  const ssize_t count = recv(this->fd, bytes, sizeof(bytes), 0);
  if (count > 0) {
    this->buffer.append(bytes, static_cast<std::size_t>(count));
  }
  return static_cast<int>(count);
}

ReadEnd Stream::ReadLine(std::string& line, TimePoint until) {
  while (true) {
    const std::size_t end = this->buffer.find("\r\n");
    if (end != std::string::npos) {
      line = this->buffer.substr(0, end);
      this->buffer.erase(0, end + 2);
      return ReadEnd::kWhole;
    }
    const int count = this->Fill(until);
    if (count <= 0) {
      return count == -2 ? ReadEnd::kTimeout : ReadEnd::kCut;
    }
  }
}

ReadEnd Stream::ReadHead(Message& message, TimePoint until) {
  message = Message();
  while (this->buffer.empty()) {
    const int count = this->Fill(until);
    if (count <= 0) {
      return count == -2 ? ReadEnd::kTimeout : ReadEnd::kClosed;
    }
  }
  ReadEnd end = this->ReadLine(message.start, until);
  std::string line;
  while (end == ReadEnd::kWhole) {
    end = this->ReadLine(line, until);
    if (end == ReadEnd::kWhole && line.empty()) {
      break;
    }
    const std::size_t colon = std::min(line.find(':'), line.size());
    std::size_t value = std::min(colon + 1, line.size());
    while (value < line.size() && line[value] == ' ') {
      ++value;
    }
    message.fields.emplace_back(line.substr(0, colon), line.substr(value));
  }
  return end;
}

ReadEnd Stream::ReadChunks(Message& message, TimePoint until) {
  std::string line;
  while (true) {
    ReadEnd end = this->ReadLine(line, until);
    if (end != ReadEnd::kWhole) {
      return end;
    }
    const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
    while (this->buffer.size() < size + 2) {
      const int count = this->Fill(until);
      if (count <= 0) {
        return count == -2 ? ReadEnd::kTimeout : ReadEnd::kCut;
      }
    }
    message.body += this->buffer.substr(0, size);
    this->buffer.erase(0, size + 2);
    if (size == 0) {
      return ReadEnd::kWhole;
    }
  }
}

ReadEnd Stream::ReadBody(Message& message, bool is_answer, TimePoint until) {
  if (EqualsIgnoringCase(message.Get("Transfer-Encoding"), "chunked")) {
    return this->ReadChunks(message, until);
  }
  const std::string length = message.Get("Content-Length");
  const bool to_end = length.empty() && is_answer;
  const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
  while (to_end || this->buffer.size() < size) {
    const int count = this->Fill(until);
    if (count == 0 && to_end) {
      message.body = std::move(this->buffer);
      this->buffer.clear();
      return ReadEnd::kWhole;
    }
    if (count <= 0) {
      message.body = this->buffer;
      return count == -2 ? ReadEnd::kTimeout : ReadEnd::kCut;
    }
  }
  message.body = this->buffer.substr(0, size);
  this->buffer.erase(0, size);
  return ReadEnd::kWhole;
}

ReadEnd Stream::Read(Message& message, bool is_answer, TimePoint until) {
  const ReadEnd end = this->ReadHead(message, until);
  return end == ReadEnd::kWhole ? this->ReadBody(message, is_answer, until) : end;
}

bool Stream::HasPeerLeft() {
  char byte = 0;
  const ssize_t count = recv(this->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Stream::Close() {
  if (this->fd >= 0) {
    close(this->fd);
    this->fd = -1;
  }
}

void Stream::Reset() {
  const linger now{1, 0};
  setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
  this->Close();
}

void Stream::Shutdown() {
  sockaddr none{};
  none.sa_family = AF_UNSPEC;
  connect(this->fd, &none, sizeof(none));
}

int Connect(const Address& to, Milliseconds limit) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = MakeAddress(to);
  int failed = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  if (failed != 0 && errno == EINPROGRESS) {
    pollfd waited{fd, POLLOUT, 0};
    socklen_t size = sizeof(failed);
    failed = 1;
    if (poll(&waited, 1, static_cast<int>(limit.count())) > 0) {
      getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size);
    }
  }
  if (failed != 0) {
    close(fd);
    return -1;
  }
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return fd;
}

Server::~Server() { this->Crash(); }

bool Server::Start() {
  this->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(this->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in at = MakeAddress(this->address);
  if (bind(this->listener, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) != 0 ||
      listen(this->listener, 512) != 0) {
    close(this->listener);
    return false;
  }
  this->running = true;
  this->acceptor = std::thread([this] { this->Accept(); });
  return true;
}

void Server::Accept() {
  while (!this->ending) {
    pollfd waited{this->listener, POLLIN, 0};
    if (poll(&waited, 1, 50) <= 0 || this->ending) {
      continue;
    }
    const int connection = accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (connection < 0) {
      continue;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    ++this->active;
    std::thread([this, connection] {
      this->Serve(connection);
      --this->active;
    }).detach();
  }
}

void Server::Serve(int connection) {
  Stream stream(connection);
  {
    const std::lock_guard guard(this->mutex);
    this->streams.insert(&stream);
  }
  Message request;
  while (this->running &&
         stream.Read(request, false, Clock::now() + std::chrono::minutes(2)) == ReadEnd::kWhole &&
         this->running && this->handler(stream, request)) {
  }
  const std::lock_guard guard(this->mutex);
  this->streams.erase(&stream);
  stream.Close();
}

void Server::Crash() {
  if (this->ending.exchange(true) || !this->acceptor.joinable()) {
    return;
  }
  // The listener refuses connections before the first one is reset, as at the end of a process.
  shutdown(this->listener, SHUT_RDWR);
  this->acceptor.join();
  close(this->listener);
  this->running = false;
  {
    const std::lock_guard guard(this->mutex);
    for (Stream* stream : this->streams) {
      stream->Shutdown();
    }
  }
  while (this->active > 0) {
    std::this_thread::sleep_for(Milliseconds(1));
  }
}

}  // namespace review
