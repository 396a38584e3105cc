#include "Fuzz/fuzz_options.h"

#include <cstdlib>

namespace lacewingbridge {

namespace {

std::uint64_t ReadNumber(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::strtoull(text, nullptr, 10);
}

}  // namespace

FuzzOptions FuzzOptions::Read(const FuzzOptions& defaults) {
  return {ReadNumber("LACEWING_FUZZ_SEED", defaults.first_seed),
          ReadNumber("LACEWING_FUZZ_STEPS", defaults.steps),
          ReadNumber("LACEWING_FUZZ_RUNS", defaults.runs)};
}

}  // namespace lacewingbridge
