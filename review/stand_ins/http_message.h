#ifndef LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_MESSAGE_H_
#define LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lacewingbridge::review {

// A request or an answer of HTTP/1.1.
struct HttpMessage {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Empty if there is no such header.
  std::string GetHeader(std::string_view name) const;
  bool HasHeader(std::string_view name) const;
  // The parts of a request's start line.
  std::string GetMethod() const;
  std::string GetTarget() const;
  // The status of an answer; 0 if it has none.
  int GetStatus() const;
  // The message as it is sent, with a Content-Length unless the message states its framing.
  std::string Format() const;
};

HttpMessage MakeRequest(std::string_view method, std::string_view target, std::string_view host);
HttpMessage MakeAnswer(int status, std::string_view reason);

}  // namespace lacewingbridge::review

#endif  // LACEWINGBRIDGE_REVIEW_STAND_INS_HTTP_MESSAGE_H_
