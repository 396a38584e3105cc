#ifndef LACEWINGBRIDGE_SOURCE_VERSION_VERSION_ORDER_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_VERSION_ORDER_H_

#include <compare>

#include "rules.h"

namespace lacewingbridge {

// Whether the stamp stands for "no version": its number is 0, whatever the digest.
inline bool IsNoVersion(const VersionStamp& stamp) { return stamp.number == 0; }

// Total order of versions: by number, then by digest. Digests decide only if the store lost state
// and accepted two versions with the same number.
inline std::strong_ordering CompareVersions(const VersionStamp& left, const VersionStamp& right) {
  if (left.number != right.number || IsNoVersion(left)) {
    return left.number <=> right.number;
  }
  return left.digest.compare(right.digest) <=> 0;
}

inline bool IsNewer(const VersionStamp& left, const VersionStamp& right) {
  return std::is_gt(CompareVersions(left, right));
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_VERSION_ORDER_H_
