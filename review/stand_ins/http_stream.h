#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_STREAM_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_STREAM_H_

#include <memory>
#include <string>
#include <string_view>

#include "stand_ins/http_message.h"
#include "stand_ins/record.h"

namespace lacewingbridge::review {

// How the reading of a message ended.
enum class ReadEnd {
  kWhole,
  // The other side closed the connection before the message was whole.
  kClosed,
  kReset,
  kTimedOut,
  kMalformed,
};

std::string_view GetName(ReadEnd end);

// One TCP connection that carries messages of HTTP/1.1. Used by one thread, except for Shutdown.
class HttpStream {
 public:
  // Null if the connection is not made within that time. The address is IP:PORT.
  static std::unique_ptr<HttpStream> Connect(const std::string& address, Milliseconds limit);

  explicit HttpStream(int connected_socket) : socket(connected_socket) {}
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;
  ~HttpStream();

  // Reads a whole request or answer.
  ReadEnd Read(HttpMessage& message, Milliseconds limit);
  bool Write(std::string_view bytes);
  // Waits until the other side has closed the connection.
  void WaitForClose(Milliseconds limit);
  // Ends the connection; another thread that reads from it returns.
  void Shutdown();

 private:
  ReadEnd ReadMore(Clock::time_point until);
  ReadEnd ReadUpTo(std::size_t size, Clock::time_point until);
  ReadEnd ReadChunks(HttpMessage& message, Clock::time_point until);

  const int socket;
  std::string buffer;
};

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_STREAM_H_
