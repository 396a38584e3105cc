#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CONNECTION_PROBE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CONNECTION_PROBE_H_

#include <chrono>
#include <string>

namespace lacewingbridge {

// Whether the host refuses connections to the address, which proves that no process
// listens there. Sends no data. Blocks for at most the limit. Returns false also if the
// host does not respond within the limit or the address is invalid.
bool IsConnectionRefused(const std::string& address, std::chrono::milliseconds limit);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CONNECTION_PROBE_H_
