#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Returns how long a version of that size takes on the link alone; zero if the rate is unknown.
inline Duration ComputeTableTransfer(std::size_t bytes, std::uint64_t link_bytes_per_second) {
  constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
  return link_bytes_per_second == 0 ? Duration{0}
                                    : Duration(static_cast<Duration::rep>(
                                          bytes * kMicrosecondsPerSecond / link_bytes_per_second));
}

// Returns the delay between receiving a version of the configuration and requesting the next one,
// so that versions in quick succession arrive together. It is designed for this load: several
// versions per second of half a megabyte each, on a link of 9 Mbit/s. Read one by one they occupy
// the link, and responses to requests wait behind them.
//
// The delay is six times the transfer time of the version on the link, so that versions use a
// seventh of the link. It is at least a quarter and at most half of bound, the time within which a
// version has to be in force. The rest of the bound is left for the transfer, a slow store and lost
// packets.
inline Duration ComputeTablePause(std::size_t bytes, std::uint64_t link_bytes_per_second,
                                  Duration bound) {
  constexpr int kPausePerTransfer = 6;
  constexpr int kMinPauseDivisor = 4;
  constexpr int kMaxPauseDivisor = 2;
  return std::clamp(ComputeTableTransfer(bytes, link_bytes_per_second) * kPausePerTransfer,
                    bound / kMinPauseDivisor, bound / kMaxPauseDivisor);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_
