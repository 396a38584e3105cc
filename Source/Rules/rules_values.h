#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "Core/time_point.h"
#include "Rules/http_method.h"

namespace lacewingbridge {

// Letters, digits, "-", "_" and "."; at most 64 of them.
bool IsRulesName(std::string_view text);

// Absolute path of printable ASCII without empty or dot segments, query or fragment; at
// most 256 bytes.
bool IsRulesPath(std::string_view text);

// Whole decimal number within the bounds.
std::optional<std::uint32_t> ParseRulesNumber(std::string_view text, std::uint32_t lowest,
                                              std::uint32_t highest);

// Whole number with one of the units ms, s and m.
std::optional<Duration> ParseRulesDuration(std::string_view text, Duration lowest,
                                           Duration highest);

// Comma-separated method names, each once.
std::optional<HttpMethodSet> ParseHttpMethodSet(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_VALUES_H_
