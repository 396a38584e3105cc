#ifndef LACEWINGBRIDGE_SOURCE_TRANSFER_FIELD_SYNTAX_H_
#define LACEWINGBRIDGE_SOURCE_TRANSFER_FIELD_SYNTAX_H_

#include <string_view>

namespace lacewingbridge {

// Whether the text is a token (RFC 9110, section 5.6.2), such as the name of a header.
bool IsToken(std::string_view text);

// Whether the text has no control character other than a tab, as the value of a header.
bool IsFieldText(std::string_view text);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TRANSFER_FIELD_SYNTAX_H_
