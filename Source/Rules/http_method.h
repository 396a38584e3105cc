#ifndef LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_
#define LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lacewingbridge {

// The HTTP methods that a route can list. kOther stands for every other method of a request, which
// only a route for all methods accepts.
enum class HttpMethod : std::uint8_t {
  kGet = 0,
  kHead,
  kPost,
  kPut,
  kPatch,
  kDelete,
  kOptions,
  kOther,
};

inline constexpr std::size_t kHttpMethodCount = 8;

// Bit set with one bit for each HttpMethod.
using HttpMethodSet = std::uint8_t;

inline constexpr HttpMethodSet kAllHttpMethods = 0xff;

constexpr HttpMethodSet MakeHttpMethodSet(HttpMethod method) {
  return static_cast<HttpMethodSet>(1U << static_cast<unsigned>(method));
}

// Returns kOther for an unknown name. Method names are case-sensitive, as in HTTP.
HttpMethod ParseHttpMethod(std::string_view name);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_
