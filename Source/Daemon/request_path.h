#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_

#include <optional>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Returns the path that is matched against routes: the path of an HTTP request target, without
// the query and with percent-encoding resolved. Returns nothing if the server of the request
// could interpret the path differently, so that the request would run under the wrong rule. Such
// paths contain dot segments, empty segments, backslashes, control characters, encoded
// separators or percent signs, or invalid encodings.
std::optional<std::string> DecodeRequestPath(std::string_view target);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_
