#ifndef LACEWINGBRIDGE_SOURCE_TRANSFER_RESPONSE_HEAD_H_
#define LACEWINGBRIDGE_SOURCE_TRANSFER_RESPONSE_HEAD_H_

#include <string_view>

namespace lacewingbridge {

// Why the head of a response is not well-formed (RFC 9112).
enum class HeadFault {
  kNone,
  kStatusLine,  // no version and status from 100 to 599
  kFieldName,   // not a token
  kFieldValue,  // a control character
  kFoldedLine,  // a field that continues on the next line
  kLength,      // no number, or two different ones
  kEncoding,    // a transfer encoding other than "chunked", or one beside a length
};

// Returns the word for logs.
std::string_view GetName(HeadFault fault);

// Whether the first bytes of a head are those of a response, as far as they have arrived.
bool CanBeginResponse(std::string_view bytes);

// Checks a whole head, from the status line to the empty line. Stricter than the parser behind it,
// which unfolds lines and accepts transfer encodings that it does not know.
HeadFault CheckResponseHead(std::string_view head);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_TRANSFER_RESPONSE_HEAD_H_
