#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_

#include "Http/asio_types.h"

namespace lacewingbridge {

// How long the operating system keeps a connection whose receiver takes no bytes.
enum class SilenceLimit {
  kShort,   // for a receiver that may be gone
  kPaused,  // for a receiver that is known to be alive
};

// Sends small messages at once, and finds a peer that has lost power or a connection that
// has gone silent within seconds.
void SetConnectionOptions(TcpSocket& socket);

void SetSilenceLimit(TcpSocket& socket, SilenceLimit limit);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_
