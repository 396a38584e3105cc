#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_KEYS_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_KEYS_H_

#include <algorithm>
#include <chrono>
#include <cinttypes>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <iterator>
#include <string>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// Unix time in milliseconds at TimePoint{} of a test.
inline constexpr std::uint64_t kTestUnixMs = 1'800'000'000'000;

// Returns the wall clock of a process whose clock is off by clock_offset_ms.
inline std::uint64_t GetTestUnixMs(TimePoint now, std::int64_t clock_offset_ms = 0) {
  return kTestUnixMs +
         static_cast<std::uint64_t>(CountMilliseconds(now.time_since_epoch()) + clock_offset_ms);
}

// Returns a version 7 UUID with this time. The number makes it unique.
inline std::string MakeTimedKey(std::uint64_t unix_ms, std::uint64_t number) {
  char text[37];
  std::snprintf(text, sizeof(text), "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
                unix_ms >> 16U & 0xffff'ffffU, unix_ms & 0xffffU, number & 0xffff'ffff'ffffU);
  return text;
}

// Returns the clock error of a process in milliseconds. The clocks of any two processes differ
// by at most kMaxClockSkew.
inline std::int64_t GetClockOffset(std::uint64_t incarnation) {
  constexpr std::int64_t kOffsetsMs[] = {0, 1000, -1000, 400, -700};
  return kOffsetsMs[incarnation % std::size(kOffsetsMs)];
}

// The keys of a test, by number. The first ones have no time; the timed ones are added after
// them.
class ClaimsKeys {
 public:
  explicit ClaimsKeys(std::size_t untimed_count) {
    for (std::size_t i = 0; i < untimed_count; ++i) {
      this->names.push_back("key-" + std::to_string(i));
    }
  }

  // Adds a timed key of a caller whose clock may differ widely from those of the daemons.
  // choice selects the difference. Returns the number of the key.
  std::size_t AddTimed(TimePoint now, std::size_t choice) {
    constexpr std::int64_t kCallerOffsetsMs[] = {0,     0,     1500,      -1500,     3000,
                                                 8000,  15000, 30000,     -8000,     -30000,
                                                 60000, 0,     3'600'000, -3'600'000};
    const std::int64_t offset = kCallerOffsetsMs[choice % std::size(kCallerOffsetsMs)];
    this->names.push_back(MakeTimedKey(GetTestUnixMs(now, offset), this->names.size()));
    return this->names.size() - 1;
  }
  // Returns the number of one of the most recently added keys, for a resend.
  std::size_t ChooseRecent(std::size_t choice) const {
    constexpr std::size_t kRecentCount = 12;
    return this->names.size() - 1 - choice % std::min(kRecentCount, this->names.size());
  }
  const std::string& GetName(std::size_t key) const { return this->names[key]; }

 private:
  std::vector<std::string> names;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_KEYS_H_
