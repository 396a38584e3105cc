// Guards against a target that fails all requests and still receives them, and against one that
// receives none and can never show that it works again.
#include <criterion/criterion.h>

#include "Admission/failure_throttle.h"
#include "Admission/target_admission.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

void Fail(FailureThrottle& throttle, std::uint32_t times) {
  for (std::uint32_t i = 0; i < times; ++i) {
    throttle.RecordEnd(true);
  }
}

}  // namespace

Test(failure_throttle, admits_everything_until_enough_requests_failed_in_a_row) {
  FailureThrottle throttle;
  Fail(throttle, FailureThrottle::kFailuresInRow - 1);
  cr_assert(throttle.TryAdmit());
  throttle.RecordEnd(false);
  Fail(throttle, FailureThrottle::kFailuresInRow - 1);
  cr_assert(throttle.TryAdmit());
  throttle.RecordEnd(true);
  cr_assert(!throttle.TryAdmit());
}

Test(failure_throttle, admits_one_request_in_an_interval_and_all_after_a_success) {
  FailureThrottle throttle;
  Fail(throttle, 100);
  std::uint32_t admitted = 0;
  for (std::uint32_t i = 0; i < 10 * FailureThrottle::kTrialInterval; ++i) {
    admitted += throttle.TryAdmit() ? 1 : 0;
  }
  cr_assert_eq(admitted, 10);
  throttle.RecordEnd(false);
  cr_assert(!throttle.IsThrottling());
  cr_assert(throttle.TryAdmit());
}

// Guards against errors that are returned at once and make the service time look short, so that
// callers' daemons prefer the target.
Test(failure_throttle, quick_failures_do_not_shorten_the_service_time) {
  TargetAdmission admission;
  admission.SetSlots(TimePoint(), 1);
  TimePoint now(milliseconds(1000));
  RequestId id = 0;
  const auto run = [&](Duration taken, bool served) {
    const WorkOffer offer{++id, 1, now + milliseconds(900), now + milliseconds(2000)};
    admission.Offer(now, offer);
    now += taken;
    admission.Finish(now, id, served);
  };
  for (int i = 0; i < 200; ++i) {
    run(milliseconds(100), true);
  }
  const Duration learnt = admission.GetServiceTimes().GetMean();
  for (int i = 0; i < 200; ++i) {
    run(milliseconds(1), false);
  }
  cr_assert(admission.GetServiceTimes().GetMean() == learnt);
  run(milliseconds(400), false);
  cr_assert(admission.GetServiceTimes().GetMean() > learnt);
}
