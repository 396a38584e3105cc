#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_

#include <cstdint>
#include <tuple>

namespace lacewingbridge {

// A revision of the store. A store that is restored from a copy gives out its revisions again, in a
// new era; any position in it is newer than those of earlier eras.
struct StorePosition {
  // 0 if the store states no era.
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  bool operator==(const StorePosition&) const = default;
  bool operator<(const StorePosition& other) const {
    return std::tie(this->era, this->revision) < std::tie(other.era, other.revision);
  }
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_STORE_POSITION_H_
