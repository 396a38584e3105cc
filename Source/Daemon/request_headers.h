#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_HEADERS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_HEADERS_H_

namespace httplib {
struct Request;
}  // namespace httplib

namespace lacewingbridge {

// Whether the request line and the headers of a request, written to another connection, are read
// there as the same request line and headers. The HTTP library accepts names that are not tokens
// and decodes percent-encoded line ends in values.
bool IsHeadWellFormed(const httplib::Request& request);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_HEADERS_H_
