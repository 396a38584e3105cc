#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewingbridge {

// Byte stream of one accepted connection, with a read buffer. Implements the stream interface
// of the HTTP library, whose own implementation is not public.
class HttpServerStream : public httplib::Stream {
 public:
  // Does not own the socket, which stays open when the stream is destroyed. The time limits
  // apply to each read and each write.
  HttpServerStream(socket_t connected, std::chrono::milliseconds reading,
                   std::chrono::milliseconds writing);

  // Whether bytes of a further request were already received.
  bool HasBufferedBytes() const { return this->position < this->size; }

  bool is_readable() const override;
  bool is_writable() const override;
  ssize_t read(char* bytes, std::size_t max_size) override;
  ssize_t write(const char* bytes, std::size_t count) override;
  void get_remote_ip_and_port(std::string& ip, int& port) const override;
  void get_local_ip_and_port(std::string& ip, int& port) const override;
  socket_t socket() const override { return this->descriptor; }

 private:
  socket_t descriptor;
  std::chrono::milliseconds read_limit;
  std::chrono::milliseconds write_limit;
  // Avoids a system call for each byte, since the library reads header lines byte by byte.
  std::array<char, 4096> buffer{};
  std::size_t position = 0;
  std::size_t size = 0;
};

// Waits until the socket has one of the poll events or the time limit has passed. Returns
// whether an event occurred.
bool WaitForSocket(socket_t descriptor, std::int16_t events, std::chrono::milliseconds limit);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_
