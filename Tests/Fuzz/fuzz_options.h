#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_

#include <cstddef>
#include <cstdint>

namespace lacewingbridge {

// What a fuzzer runs. LACEWING_FUZZ_SEED, LACEWING_FUZZ_STEPS and LACEWING_FUZZ_RUNS
// override the values that a test gives.
struct FuzzOptions {
  std::uint64_t first_seed = 1;
  std::size_t steps = 100;
  std::size_t runs = 10;

  static FuzzOptions Read(const FuzzOptions& defaults);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_
