#ifndef LACEWINGBRIDGE_TESTS_FAKES_PIPELINED_REQUESTS_H_
#define LACEWINGBRIDGE_TESTS_FAKES_PIPELINED_REQUESTS_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Requests that a test sends on one connection without waiting.
inline constexpr int kPipelined = 4;

// `headers` are lines that each end with "\r\n".
inline std::string MakeGet(const std::string& path, const std::string& headers = "") {
  return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

inline std::size_t Count(std::string_view text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string_view::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_PIPELINED_REQUESTS_H_
