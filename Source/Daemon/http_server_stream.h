#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_

#include <httplib.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace lacewingbridge {

// The bytes of one accepted connection. The virtual functions are the library's; its own
// stream is not part of its interface.
class HttpServerStream : public httplib::Stream {
 public:
  // The socket stays open when the stream ends.
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
  // The library reads header lines byte by byte.
  std::array<char, 4096> buffer{};
  std::size_t position = 0;
  std::size_t size = 0;
};

// Waits until the socket has one of the events or the time is over; true when it has.
bool WaitForSocket(socket_t descriptor, std::int16_t events, std::chrono::milliseconds limit);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_HTTP_SERVER_STREAM_H_
