#ifndef LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_
#define LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Returns the offset of the first byte that is not part of valid UTF-8, or npos if there is none.
std::size_t FindInvalidUtf8(std::string_view text);

// Returns the column of the byte at the offset. Columns count characters from 1.
std::size_t CountColumn(std::string_view line, std::size_t offset);

// Returns the text in quotes for an error message. A long text is shortened, and bytes that a
// terminal cannot show are escaped as \xNN.
std::string QuoteForMessage(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_RULES_RULES_UTF8_H_
