#ifndef LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_
#define LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_

#include "Http/asio_types.h"

namespace lacewingbridge {

// Sends small messages at once, and finds a peer that has lost power or a connection that
// has gone silent within seconds.
void SetConnectionOptions(TcpSocket& socket);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_HTTP_SOCKET_OPTIONS_H_
