#ifndef LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_STAMP_H_
#define LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_STAMP_H_

#include <tuple>

#include "rules.h"

namespace lacewingbridge {

// Total order of versions: by number, then by digest. Compares true if the left version is older.
struct SpreadStampLess {
  bool operator()(const VersionStamp& left, const VersionStamp& right) const {
    return std::tie(left.number, left.digest) < std::tie(right.number, right.digest);
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_STAMP_H_
