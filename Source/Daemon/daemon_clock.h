#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_CLOCK_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "Core/time_point.h"
#include "Http/boot_clock.h"

namespace lacewingbridge {

// Converts the time to the steady clock, for waits on a condition variable.
inline std::chrono::steady_clock::time_point ToSteadyTime(TimePoint time) {
  return std::chrono::steady_clock::now() + (time - GetNow());
}

// Milliseconds since the Unix epoch, for display, incarnations and the times of claim keys
// and owner maps.
inline std::uint64_t GetUnixMilliseconds() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_DAEMON_CLOCK_H_
