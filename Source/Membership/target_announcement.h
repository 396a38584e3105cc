#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_

#include <cstdint>
#include <string>

namespace lacewingbridge {

// A message in which a target reports its state to the daemon beside it.
struct TargetAnnouncement {
  std::string id;
  std::string service;
  // Requests that the target runs at a time.
  std::uint32_t slots = 0;
  bool draining = false;
  // Rises with each announcement of one instance, that is of one run of the target's process.
  std::uint64_t sequence = 0;
  // Start time of the instance in Unix milliseconds by the target's clock; 0 if not stated.
  // It is only compared with the start times of other instances, never with a clock.
  std::uint64_t born_unix_ms = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_TARGET_ANNOUNCEMENT_H_
