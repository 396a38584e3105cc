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

// Unix time at TimePoint{} of a test.
inline constexpr std::uint64_t kTestUnixMs = 1'800'000'000'000;

inline std::uint64_t GetTestUnixMs(TimePoint now, std::int64_t clock_offset_ms = 0) {
  return kTestUnixMs +
         static_cast<std::uint64_t>(CountMilliseconds(now.time_since_epoch()) + clock_offset_ms);
}

// A version 7 UUID of that time.
inline std::string MakeTimedKey(std::uint64_t unix_ms, std::uint64_t number) {
  char text[37];
  std::snprintf(text, sizeof(text), "%08" PRIx64 "-%04" PRIx64 "-7000-8000-%012" PRIx64,
                unix_ms >> 16U & 0xffff'ffffU, unix_ms & 0xffffU, number & 0xffff'ffff'ffffU);
  return text;
}

// Clock error of a process; any two processes differ by at most kMaxClockSkew.
inline std::int64_t GetClockOffset(std::uint64_t incarnation) {
  constexpr std::int64_t kOffsetsMs[] = {0, 1000, -1000, 400, -700};
  return kOffsetsMs[incarnation % std::size(kOffsetsMs)];
}

// Keys of a test by number: fixed ones without a time first, then timed ones.
class ClaimsKeys {
 public:
  explicit ClaimsKeys(std::size_t untimed_count) {
    for (std::size_t i = 0; i < untimed_count; ++i) {
      this->names.push_back("key-" + std::to_string(i));
    }
  }

  // A new key of a caller whose clock may be far off.
  std::size_t AddTimed(TimePoint now, std::size_t choice) {
    constexpr std::int64_t kCallerOffsetsMs[] = {0,     0,     1500,      -1500,     3000,
                                                 8000,  15000, 30000,     -8000,     -30000,
                                                 60000, 0,     3'600'000, -3'600'000};
    const std::int64_t offset = kCallerOffsetsMs[choice % std::size(kCallerOffsetsMs)];
    this->names.push_back(MakeTimedKey(GetTestUnixMs(now, offset), this->names.size()));
    return this->names.size() - 1;
  }
  // One of the latest keys, for a resend.
  std::size_t ChooseLate(std::size_t choice) const {
    constexpr std::size_t kLateCount = 12;
    return this->names.size() - 1 - choice % std::min(kLateCount, this->names.size());
  }
  const std::string& GetName(std::size_t key) const { return this->names[key]; }

 private:
  std::vector<std::string> names;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_KEYS_H_
