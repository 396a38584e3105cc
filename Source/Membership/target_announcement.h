#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// What a target says about itself to the daemon beside it.
struct TargetAnnouncement {
  std::string id;
  std::string service;
  std::uint32_t slots = 0;
  bool draining = false;
  // Rises with each announcement of one start of the target.
  std::uint64_t sequence = 0;
  // Unix milliseconds of the target's start by its own clock; only compared with other
  // starts of targets, never with a clock. 0 when not stated.
  std::uint64_t born_unix_ms = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_
