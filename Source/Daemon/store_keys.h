#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_STORE_KEYS_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_STORE_KEYS_H_

#include <string>
#include <string_view>

#include "Core/digest.h"
#include "rules.h"

namespace lacewingbridge {

// Keys of the entries in the platform's store; see docs/design.md, section 3.2.
inline constexpr char kHeadKey[] = "lacewingbridge/head";
inline constexpr char kOwnersKey[] = "lacewingbridge/owners";

inline std::string MakeBodyKey(std::string_view digest) {
  return "lacewingbridge/body/" + FormatHex(digest);
}

inline std::string MakeWatchKey(std::string_view scope) {
  return "lacewingbridge/watch/" + std::string(scope);
}

inline std::string MakeSeedsKey(std::string_view data_centre) {
  return "lacewingbridge/seeds/" + std::string(data_centre);
}

inline std::string MakeDisplacedKey(const VersionStamp& stamp) {
  return "lacewingbridge/displaced/" + std::to_string(stamp.number) + "-" + FormatHex(stamp.digest);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_STORE_KEYS_H_
