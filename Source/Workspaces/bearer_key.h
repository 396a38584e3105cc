#ifndef LACEWINGBRIDGE_SOURCE_WORKSPACES_BEARER_KEY_H_
#define LACEWINGBRIDGE_SOURCE_WORKSPACES_BEARER_KEY_H_

#include <string_view>

namespace lacewingbridge {

// Returns the API key in the value of an Authorization header of the scheme Bearer. Empty for
// another scheme, and if the header has no key or more than one.
std::string_view ReadBearerKey(std::string_view authorization);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WORKSPACES_BEARER_KEY_H_
