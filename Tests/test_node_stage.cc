// Guards against a stopping daemon that takes requests which it has to cut when it ends.
#include <criterion/criterion.h>

#include "Proxy/daemon_stage.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStop{seconds(100)};
constexpr TimePoint kInformed = kStop + milliseconds(2600);
constexpr TimePoint kEnd = kStop + seconds(9);

}  // namespace

Test(node_stage, takes_every_request_before_the_stop) {
  const DaemonStage stage;
  cr_assert(stage.MayTake(kStop, kStop + seconds(60), false));
}

Test(node_stage, takes_what_it_can_finish_and_nothing_once_it_closes) {
  DaemonStage stage;
  stage.BeginStop(kInformed, kEnd);
  cr_assert(stage.MayTake(kStop, kEnd, false));
  cr_assert(stage.MayTake(kInformed, kEnd, true));
  cr_assert(!stage.MayTake(kInformed, kEnd + milliseconds(1), true));
  cr_assert(!stage.MayTake(kStop, kEnd + milliseconds(1), false));
  stage.BeginClosing();
  cr_assert(!stage.MayTake(kStop, kStop + seconds(1), true));
}

Test(node_stage, takes_long_lookups_until_callers_are_informed) {
  DaemonStage stage;
  stage.BeginStop(kInformed, kEnd);
  cr_assert(stage.MayTake(kInformed - milliseconds(1), kEnd + seconds(5), true));
  cr_assert(!stage.MayTake(kInformed, kEnd + seconds(5), true));
}
