#include "Http/boot_clock.h"

#include <ctime>

namespace lacewingbridge {

TimePoint GetNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) +
                                                        std::chrono::nanoseconds(time.tv_nsec)));
}

}  // namespace lacewingbridge
