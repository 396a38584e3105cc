#ifndef LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_END_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_END_H_

#include <string_view>

namespace lacewingbridge {

// Why no further response can be sent on a connection of a listener.
enum class ConnectionEnd {
  kNone,          // the connection is open
  kCallerLeft,    // the caller closed the connection
  kLastResponse,  // the last response sent closes the connection
  kAborted,       // a response broke off
  kWriteFailed,   // a response could not be written in time
};

// Returns the word for logs and metrics.
constexpr std::string_view GetName(ConnectionEnd end) {
  switch (end) {
    case ConnectionEnd::kNone:
      return "none";
    case ConnectionEnd::kCallerLeft:
      return "caller_left";
    case ConnectionEnd::kLastResponse:
      return "last_response";
    case ConnectionEnd::kAborted:
      return "aborted";
    case ConnectionEnd::kWriteFailed:
      return "write_failed";
  }
  return "invalid";
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_CONNECTION_END_H_
