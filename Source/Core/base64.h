#ifndef LACEWINGBRIDGE_SOURCE_CORE_BASE64_H_
#define LACEWINGBRIDGE_SOURCE_CORE_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Standard alphabet, with padding.
std::string EncodeBase64(std::string_view bytes);

// Empty for text that is no base64.
std::optional<std::string> DecodeBase64(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CORE_BASE64_H_
