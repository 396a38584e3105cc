#ifndef LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_
#define LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "Core/time_point.h"

namespace lacewingbridge {

// Pause after a version of the configuration before the next one is asked for, so that
// versions in quick succession arrive together. The load pattern it answers: several
// versions a second of half a megabyte each, on a link of 9 Mbit/s. Read one by one they
// take the link, and answers to requests wait behind them.
//
// The pause is three times what a version takes on the link, so that versions take a
// quarter of it, within a quarter and a half of the bound within which a version has to be
// in force; the rest of the bound is for the transfer, a slow store and lost packets.
inline Duration ComputeTablePause(std::size_t bytes, std::uint64_t link_bytes_per_second,
                                  Duration bound) {
  constexpr int kPausePerTransfer = 3;
  constexpr int kLeastDivisor = 4;
  constexpr int kMostDivisor = 2;
  constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
  const std::uint64_t transfer =
      link_bytes_per_second == 0 ? 0 : bytes * kMicrosecondsPerSecond / link_bytes_per_second;
  return std::clamp(Duration(static_cast<Duration::rep>(transfer)) * kPausePerTransfer,
                    bound / kLeastDivisor, bound / kMostDivisor);
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_TABLE_PAUSE_H_
