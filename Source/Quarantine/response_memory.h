#ifndef LACEWINGBRIDGE_SOURCE_QUARANTINE_RESPONSE_MEMORY_H_
#define LACEWINGBRIDGE_SOURCE_QUARANTINE_RESPONSE_MEMORY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "Core/time_point.h"

namespace lacewingbridge {

// Remembers when requests last got a response. The size is fixed: two requests that share a place
// replace each other, and only a frequent request is likely to be found.
class ResponseMemory {
 public:
  void Record(TimePoint now, std::uint64_t fingerprint) {
    this->places[fingerprint % kPlaces] = {fingerprint, now};
  }

  std::optional<TimePoint> Find(std::uint64_t fingerprint) const {
    const Place& place = this->places[fingerprint % kPlaces];
    return place.fingerprint == fingerprint ? place.at : std::nullopt;
  }

 private:
  static constexpr std::size_t kPlaces = 512;

  struct Place {
    std::uint64_t fingerprint = 0;
    std::optional<TimePoint> at;
  };

  std::array<Place, kPlaces> places{};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUARANTINE_RESPONSE_MEMORY_H_
