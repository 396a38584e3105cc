// Guards against versions that go back, differ from the accepted text, lack a service of
// their routes, are accepted twice, or do not reach every daemon once faults have ended.
#include <criterion/criterion.h>

#include <memory>
#include <string>

#include "Core/digest.h"
#include "Daemon/rules_state.h"
#include "Fuzz/fuzz_runner.h"
#include "Fuzz/version_world.h"
#include "Rules/rules_delta.h"
#include "Rules/rules_parser.h"
#include "Version/snapshot_builder.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

struct RealParts {
  using Rules = RulesState;
  using Repair = StoreRepair;
};

}  // namespace

Test(fuzz_versions, invariants_hold_under_faults) {
  FuzzRunner<VersionWorld<RealParts>> runner(FuzzOptions::Read({1, 60, 20}));
  const bool passes = runner.Passes();
  using World = VersionWorld<RealParts>;
  cr_log_warn(
      "%zu steps, %zu versions accepted, longest convergence %lld ms, %zu older after restart",
      runner.GetStepCount(), World::accepted,
      static_cast<long long>(CountMilliseconds(World::longest)), World::older_after_restart);
  cr_assert(passes);
}
