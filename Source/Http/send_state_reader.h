#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SEND_STATE_READER_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SEND_STATE_READER_H_

#include <optional>

#include "Transfer/send_state.h"

namespace lacewingbridge {

// Reads the state of a TCP socket; nothing where the operating system does not tell.
std::optional<SendState> ReadSendState(int descriptor);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SEND_STATE_READER_H_
