#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_HISTORIES_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_HISTORIES_H_

#include <rapidcheck.h>

#include <cstddef>
#include <cstdint>
#include <vector>

#include "Fakes/claims_cluster.h"

namespace rc {
template <>
struct Arbitrary<lacewingbridge::ClusterStep> {
  using ClusterStep = lacewingbridge::ClusterStep;
  static Gen<ClusterStep> arbitrary() {
    return gen::build<ClusterStep>(
        gen::set(&ClusterStep::action, gen::inRange<std::uint8_t>(0, 20)),
        gen::set(&ClusterStep::first, gen::inRange<std::uint16_t>(0, 5040)),
        gen::set(&ClusterStep::second, gen::inRange<std::uint16_t>(0, 5040)));
  }
};
}  // namespace rc

namespace lacewingbridge {

// Runs the steps in a new cluster. Returns whether no key ran twice within the retention and
// no caller received a wrong response. Adds the number of runs to *runs.
template <typename Table, typename Gate>
bool RunsOnlyOnce(const std::vector<ClusterStep>& steps, std::size_t* runs = nullptr) {
  ClaimsCluster<Table, Gate> cluster(3);
  for (const ClusterStep& step : steps) {
    cluster.RunStep(step);
  }
  if (runs != nullptr) {
    *runs += cluster.CountRuns();
  }
  return !cluster.HasDoubleRun() && !cluster.HasWrongResponse();
}

inline rc::Gen<std::vector<ClusterStep>> GenSteps() {
  return rc::gen::container<std::vector<ClusterStep>>(1200, rc::gen::arbitrary<ClusterStep>());
}

// Changes the proportions of the actions so that restarted owners grant timed keys. For this,
// maps have to become older than the claim lifetime, most processes have to live longer than
// kMapSettleTime, and grants have to arrive in time to run. The latter takes fewer requests
// and repeated messages than deliveries, and short advances of time.
inline ClusterStep MakeTimedStep(ClusterStep step) {
  const bool is_rare = step.second % 8 == 0;
  if (step.action == ClusterStep::kChangeMap && step.second % 100 != 0) {
    step.action = ClusterStep::kAdvance;
  } else if (step.action == ClusterStep::kSendUntimed && !is_rare) {
    step.action = ClusterStep::kDeliver;
  } else if (step.action == ClusterStep::kSendUntimed + 1) {
    step.action = step.second % 2 == 0 ? ClusterStep::kSendNewTimed : ClusterStep::kDeliver;
  } else if (step.action == ClusterStep::kSendUntimed + 2) {
    step.action = ClusterStep::kResendRecent;
  } else if ((step.action == ClusterStep::kRestart || step.action == ClusterStep::kRepeat) &&
             !is_rare) {
    step.action = ClusterStep::kDeliver;
  }
  if (step.action == ClusterStep::kAdvance) {
    step.second %= 1000;
  }
  return step;
}

inline rc::Gen<std::vector<ClusterStep>> GenTimedSteps() {
  // At smaller sizes, rapidcheck draws only the actions with small numbers, so that time never
  // advances.
  return rc::gen::resize(rc::kNominalSize,
                         rc::gen::container<std::vector<ClusterStep>>(
                             3000, rc::gen::map(rc::gen::arbitrary<ClusterStep>(), MakeTimedStep)));
}

// Whether a deliberately broken table or gate violates RunsOnlyOnce within a bounded number of
// random histories.
template <typename Table, typename Gate>
bool IsBrokenVariantFound(const rc::Gen<std::vector<ClusterStep>>& histories = GenSteps()) {
  bool found = false;
  rc::check("searches for a violation", [&] {
    if (!found) {
      found = !RunsOnlyOnce<Table, Gate>(*histories);
    }
  });
  return found;
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_HISTORIES_H_
