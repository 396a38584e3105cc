#ifndef LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_
#define LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace lacewingbridge {

// Methods a route can name. kOther stands for every other method in a request; only a
// route for all methods accepts it.
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

// One bit for each HttpMethod.
using HttpMethodSet = std::uint8_t;

inline constexpr HttpMethodSet kAllHttpMethods = 0xff;

constexpr HttpMethodSet MakeHttpMethodSet(HttpMethod method) {
  return static_cast<HttpMethodSet>(1U << static_cast<unsigned>(method));
}

// Method names are case-sensitive, as in HTTP.
HttpMethod ParseHttpMethod(std::string_view name);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_HTTP_METHOD_H_
