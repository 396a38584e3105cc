#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Offset of the first byte that is not part of valid UTF-8; npos if there is none.
std::size_t FindInvalidUtf8(std::string_view text);

// Column, counted from 1 in characters, of the byte at the offset.
std::size_t CountColumn(std::string_view line, std::size_t offset);

// The text in quotes, shortened, with bytes that a terminal cannot show escaped as \xNN.
std::string QuoteForMessage(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_
