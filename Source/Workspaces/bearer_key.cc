#include "Workspaces/bearer_key.h"

#include <algorithm>
#include <cctype>

namespace lacewingbridge {

std::string_view ReadBearerKey(std::string_view authorization) {
  // The case of a scheme does not matter (RFC 9110, section 11.1).
  constexpr std::string_view kScheme = "bearer";
  std::string_view text = authorization;
  const std::string_view scheme = text.substr(0, text.find(' '));
  const bool is_bearer = std::equal(
      scheme.begin(), scheme.end(), kScheme.begin(), kScheme.end(),
      [](unsigned char given, char expected) { return std::tolower(given) == expected; });
  if (!is_bearer) {
    return {};
  }
  text.remove_prefix(scheme.size());
  text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
  text = text.substr(0, text.find_last_not_of(' ') + 1);
  return text.find_first_of(" \t,") == std::string_view::npos ? text : std::string_view();
}

}  // namespace lacewingbridge
