#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_

#include <cstddef>

#include "Http/asio_types.h"

namespace httplib {
struct Request;
}  // namespace httplib

namespace lacewingbridge {

class MetricsRegistry;

// Counts the messages and bytes, headers included, that this daemon receives in peer calls,
// by path: responses to its own calls and requests of other daemons. Summed over a fleet, the
// bytes received equal the bytes sent, so bytes sent are not counted.
void CountPeerResponse(MetricsRegistry& metrics, const char* path,
                       const http::response_header<>& head, std::size_t body_bytes);
void CountPeerRequest(MetricsRegistry& metrics, const httplib::Request& request);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
