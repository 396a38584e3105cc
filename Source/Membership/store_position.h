#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_

#include <compare>
#include <cstdint>

namespace lacewingbridge {

// A revision of the store. A store that is restored from a copy gives out its revisions again, in a
// new era; any position in it is newer than those of earlier eras.
struct StorePosition {
  // 0 if the store states no era.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  auto operator<=>(const StorePosition&) const = default;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_
