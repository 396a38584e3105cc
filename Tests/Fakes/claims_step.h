#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_STEP_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_STEP_H_

#include <cstdint>

namespace lacewingbridge {

// One random step of a test: an action and two choices whose meaning depends on the action.
// See ClaimsCluster::RunStep for all actions.
struct ClusterStep {
  static constexpr std::uint8_t kSendUntimed = 0;
  static constexpr std::uint8_t kDeliver = 3;
  static constexpr std::uint8_t kRepeat = 8;
  static constexpr std::uint8_t kRestart = 14;
  static constexpr std::uint8_t kChangeMap = 15;
  static constexpr std::uint8_t kAdvance = 19;
  static constexpr std::uint8_t kSendNewTimed = 20;
  static constexpr std::uint8_t kResendRecent = 21;

  std::uint8_t action = 0;
  std::uint16_t first = 0;
  std::uint16_t second = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_STEP_H_
