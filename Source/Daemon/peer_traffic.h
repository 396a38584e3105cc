#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_

namespace httplib {
struct Request;
struct Response;
}  // namespace httplib

namespace lacewingbridge {

class MetricsRegistry;

// Counts what peer calls bring to this daemon, headers included, by path: answers to its
// own calls and calls of others. Over a fleet, the bytes sent are the same sum.
void CountPeerAnswer(MetricsRegistry& metrics, const char* path, const httplib::Response& answer);
void CountPeerRequest(MetricsRegistry& metrics, const httplib::Request& request);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_PEER_TRAFFIC_H_
