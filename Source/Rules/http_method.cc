#include "Rules/http_method.h"

#include <array>

namespace lacewingbridge {

HttpMethod ParseHttpMethod(std::string_view name) {
  // In the order of the enumerators of HttpMethod.
  constexpr std::array<std::string_view, kHttpMethodCount - 1> kNames = {
      "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] == name) {
      return static_cast<HttpMethod>(i);
    }
  }
  return HttpMethod::kOther;
}

}  // namespace lacewingbridge
