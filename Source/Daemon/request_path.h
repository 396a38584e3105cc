#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_

#include <optional>
#include <string>
#include <string_view>

namespace lacewingbridge {

// Path of a request target, without its query and with percent-encoding resolved, as
// routes are matched with it. Empty when the target could read the path in another way
// than the rules do, and so run a request under the wrong rule: dot segments, empty
// segments, backslashes, control characters, encoded separators or percent signs, and
// encodings that are not valid.
std::optional<std::string> DecodeRequestPath(std::string_view target);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_REQUEST_PATH_H_
