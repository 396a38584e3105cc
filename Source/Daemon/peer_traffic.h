#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace lacewingbridge {

class MetricsRegistry;

// Counts the messages and bytes, headers included, that this daemon receives in peer calls,
// by path: responses to its own calls and requests of other daemons. Summed over a fleet, the
// bytes received equal the bytes sent, so bytes sent are not counted.
void CountPeerResponse(MetricsRegistry& metrics, const char* path,
                       const httplib::Response& response);
void CountPeerRequest(MetricsRegistry& metrics, const httplib::Request& request);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
