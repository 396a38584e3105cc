#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Rules/http_method.h"

namespace lacewingbridge {

// Whether the text is a valid name of a rule: 1 to 64 letters, digits, "-", "_" and ".".
bool IsRulesName(std::string_view text);

// Whether the text is a valid path of a route: an absolute path of at most 256 printable ASCII
// characters, without a space, an empty segment, a "." or ".." segment, a query or a fragment.
bool IsRulesPath(std::string_view text);

// Parses a whole decimal number. Returns nothing if it is malformed or out of bounds.
std::optional<std::uint32_t> ParseRulesNumber(std::string_view text, std::uint32_t lowest,
                                              std::uint32_t highest);

// Parses a whole number with the unit ms, s or m. Returns nothing if it is malformed or out of
// bounds.
std::optional<Duration> ParseRulesDuration(std::string_view text, Duration lowest,
                                           Duration highest);

// Parses a comma-separated list of method names. Returns nothing if a name is unknown or occurs
// twice.
std::optional<HttpMethodSet> ParseHttpMethodSet(std::string_view text);

// Parses a comma-separated list of SHA-256 digests in hexadecimal form, and returns them in the
// form of ComputeDigest. Returns nothing if a digest is malformed or occurs twice.
std::optional<std::vector<std::string>> ParseKeyDigests(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_
