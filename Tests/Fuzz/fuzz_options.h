#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_

#include <cstddef>
#include <cstdint>

namespace lacewingbridge {

// Range of seeds and length of the histories that a fuzz test runs. Run number i, counted from
// 0, uses the seed first_seed + i.
struct FuzzOptions {
  std::uint64_t first_seed = 1;
  std::size_t steps = 100;
  std::size_t runs = 10;

  // Returns the defaults, overridden by the environment variables LACEWING_FUZZ_SEED,
  // LACEWING_FUZZ_STEPS and LACEWING_FUZZ_RUNS where these are set.
  static FuzzOptions Read(const FuzzOptions& defaults);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_OPTIONS_H_
