#ifndef LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STEP_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STEP_H_

#include <cstdint>
#include <vector>

namespace lacewingbridge {

// One step of a random history. The World maps action to one of its actions; first and second
// are the random parameters of that action.
struct FuzzStep {
  std::uint32_t action = 0;
  std::uint32_t first = 0;
  std::uint32_t second = 0;
};

using FuzzSteps = std::vector<FuzzStep>;

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_FUZZ_STEP_H_
