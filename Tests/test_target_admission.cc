// Guards against a queue that makes every request late under overload, starts less urgent requests
// first, or never admits or refuses a request that it has queued.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <vector>

#include "Admission/target_admission.h"
#include "Fakes/target_simulation.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

WorkOffer MakeOffer(RequestId id, std::uint32_t priority, int objective_ms, int deadline_ms) {
  return {id, priority, At(objective_ms), At(deadline_ms)};
}

}  // namespace

// The load of a busy day: for half a minute, 5% more requests arrive than nine slots can serve.
// With a queue ordered by objective alone, nearly every response was late. The bound is the mean
// credit of a day that the users require, 0.78.
Test(target_admission, keeps_most_answers_on_time_slightly_above_capacity) {
  const SimulatedLoad lookups{94.5, 2, milliseconds(100), milliseconds(300), milliseconds(2000)};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const SimulationResult result = TargetSimulation(9, seed).Run({lookups}, seconds(30))[0];
    cr_assert_geq(result.GetCredit(), 0.78, "seed %d: credit %f", static_cast<int>(seed),
                  result.GetCredit());
  }
}

// The load of a burst: twice as many requests as the slots can serve. Served requests have to be on
// time, and the others have to be refused instead of waiting.
Test(target_admission, serves_on_time_or_refuses_in_a_burst) {
  const SimulatedLoad lookups{180, 2, milliseconds(100), milliseconds(300), milliseconds(2000)};
  const SimulationResult result = TargetSimulation(9, 7).Run({lookups}, seconds(10))[0];
  // Nine slots finish 90 requests per second; four in five of these have to be on time.
  cr_assert_geq(result.on_time, 0.8 * 90 * 10);
  cr_assert_eq(result.arrived, result.on_time + result.late + result.refused);
}

// The load of a day above capacity on which refused callers resend their requests. Resent requests
// are late by then and must not displace those that can still be on time. Nine slots finish 90
// requests per second. Three quarters of these have to be on time, which is close to the 0.78 that
// the users require.
Test(target_admission, serves_new_requests_on_time_beside_resent_requests) {
  const SimulatedLoad lookups{
      126, 2, milliseconds(100), milliseconds(300), milliseconds(2000), 2, milliseconds(200)};
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const SimulationResult result = TargetSimulation(9, seed).Run({lookups}, seconds(30))[0];
    cr_assert_geq(result.on_time, 0.75 * 90 * 30, "seed %d: %u on time, %u late, %u refused",
                  static_cast<int>(seed), result.on_time, result.late, result.refused);
  }
}

// Internal checks arrive together with more orders than the slots can serve. The checks are urgent
// because their callers occupy slots of other targets while they wait.
Test(target_admission, serves_urgent_checks_on_time_beside_an_overload) {
  const SimulatedLoad checks{60, 0, milliseconds(22), milliseconds(100), milliseconds(250)};
  const SimulatedLoad orders{90, 1, milliseconds(120), milliseconds(400), milliseconds(2500)};
  const std::vector<SimulationResult> results =
      TargetSimulation(9, 3).Run({checks, orders}, seconds(20));
  cr_assert_geq(results[0].on_time, 0.95 * results[0].arrived);
}

Test(target_admission, starts_the_nearest_objective_that_can_be_met_and_late_ones_last) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 8);
  for (RequestId id = 11; id <= 18; ++id) {
    cr_assert(admission.Offer(At(0), MakeOffer(id, 1, 300, 2000)) == AdmissionVerdict::kAdmitted);
  }
  cr_assert(admission.Offer(At(1), MakeOffer(2, 1, 10, 900)) == AdmissionVerdict::kQueued);
  cr_assert(admission.Offer(At(2), MakeOffer(3, 1, 303, 2000)) == AdmissionVerdict::kQueued);
  cr_assert(admission.Offer(At(3), MakeOffer(4, 1, 302, 2000)) == AdmissionVerdict::kQueued);
  cr_assert(admission.Offer(At(4), MakeOffer(5, 0, 104, 250)) == AdmissionVerdict::kQueued);
  std::vector<RequestId> order;
  for (RequestId done = 11; order.size() < 4; ++done) {
    const AdmissionRelease release = admission.Finish(At(5), done);
    cr_assert_eq(release.admitted.size(), 1);
    order.push_back(release.admitted[0]);
  }
  cr_assert(order == std::vector<RequestId>({5, 4, 3, 2}));
}

// Guards against requests that are refused only after they have waited, for example for half a
// second: half of their time is gone when they reach the next target.
Test(target_admission, refuses_on_arrival_a_request_that_would_wait_too_long) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 8);
  RequestId id = 0;
  AdmissionVerdict verdict = AdmissionVerdict::kAdmitted;
  while (verdict == AdmissionVerdict::kAdmitted || verdict == AdmissionVerdict::kQueued) {
    verdict = admission.Offer(At(0), MakeOffer(++id, 1, 300, 2000));
  }
  cr_assert(verdict == AdmissionVerdict::kRefusedQueueFull);
  cr_assert_eq(admission.GetRunningCount(), 8);
  cr_assert_geq(admission.GetWaitingCount(), 1);
  // With eight slots, the ninth request in the queue would wait longer than one service time.
  cr_assert_leq(admission.GetWaitingCount(), 8);
}

Test(target_admission, refuses_all_waiting_requests_when_the_target_has_no_slots_left) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 1);
  admission.Offer(At(0), MakeOffer(1, 1, 300, 2000));
  admission.Offer(At(0), MakeOffer(2, 1, 300, 2000));
  cr_assert(admission.SetSlots(At(1), 0).refused == std::vector<RequestId>({2}));
  cr_assert(admission.Offer(At(2), MakeOffer(3, 1, 300, 2000)) ==
            AdmissionVerdict::kRefusedNoSlots);
  cr_assert(admission.Finish(At(3), 1).admitted.empty());
}

Test(target_admission, gives_every_request_exactly_one_verdict_and_never_exceeds_the_slots) {
  cr_assert(rc::check([] {
    TargetAdmission admission;
    std::map<RequestId, int> verdicts;
    std::vector<RequestId> running;
    TimePoint now;
    const auto take = [&](const AdmissionRelease& release) {
      for (const RequestId id : release.admitted) {
        ++verdicts[id];
        running.push_back(id);
      }
      for (const RequestId id : release.refused) {
        ++verdicts[id];
      }
    };
    std::uint32_t slots = 3;
    take(admission.SetSlots(now, slots));
    const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 100));
    for (std::size_t i = 0; i < steps.size(); ++i) {
      now += milliseconds(steps[i] / 4);
      if (steps[i] < 60) {
        const RequestId id = i + 1;
        const WorkOffer offer{id, static_cast<std::uint32_t>(steps[i] % 3),
                              now + milliseconds(steps[i] * 5), now + milliseconds(steps[i] * 20)};
        const AdmissionVerdict verdict = admission.Offer(now, offer);
        if (verdict == AdmissionVerdict::kAdmitted) {
          take({{id}, {}});
        } else if (verdict != AdmissionVerdict::kQueued) {
          take({{}, {id}});
        }
      } else if (steps[i] < 90 && !running.empty()) {
        const RequestId id = running.front();
        running.erase(running.begin());
        take(admission.Finish(now, id));
      } else {
        slots = static_cast<std::uint32_t>(steps[i] % 4);
        take(admission.SetSlots(now, slots));
      }
      if (slots > 0) {
        RC_ASSERT(admission.GetRunningCount() == running.size());
      }
    }
    take(admission.Expire(now + seconds(100)));
    for (const auto& [id, count] : verdicts) {
      RC_ASSERT(count == 1);
    }
    RC_ASSERT(admission.GetWaitingCount() == 0U);
  }));
}

// A target whose machine is slow for a moment used to run requests beyond their objective while
// others had free slots. Only a request whose sender can choose again is refused.
Test(target_admission, refuses_in_a_slow_moment_if_the_sender_has_other_targets) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 2);
  WorkOffer offer = MakeOffer(1, 2, 100, 1000);
  offer.has_alternatives = true;
  admission.RecordWorkPercent(At(0), 100);
  cr_assert_eq(admission.Offer(At(0), offer), AdmissionVerdict::kAdmitted);
  admission.Finish(At(50), 1);
  admission.RecordWorkPercent(At(50), 250);
  offer = MakeOffer(2, 2, 150, 1050);
  offer.has_alternatives = true;
  cr_assert_eq(admission.Offer(At(50), offer), AdmissionVerdict::kRefusedSlowMoment);
  offer.has_alternatives = false;
  cr_assert_eq(admission.Offer(At(50), offer), AdmissionVerdict::kAdmitted);
  // Far from its objective, the request is admitted anyway.
  offer = MakeOffer(3, 2, 850, 1050);
  offer.has_alternatives = true;
  cr_assert_eq(admission.Offer(At(50), offer), AdmissionVerdict::kAdmitted);
}

// The moving average of the service time is that at the mean pace, so a slow moment does not count
// twice.
Test(target_admission, keeps_slow_moments_out_of_the_service_time) {
  TargetAdmission admission;
  admission.SetSlots(At(0), 1);
  RequestId id = 0;
  int ms = 0;
  const auto run = [&](std::uint32_t percent) {
    admission.RecordWorkPercent(At(ms), percent);
    admission.Offer(At(ms), MakeOffer(++id, 2, ms + 5000, ms + 9000));
    ms += static_cast<int>(percent);
    admission.RecordWorkPercent(At(ms), percent);
    admission.Finish(At(ms), id);
  };
  for (int i = 0; i < 100; ++i) {
    run(100);
  }
  run(250);
  run(250);
  cr_assert_leq(CountMilliseconds(admission.GetServiceTimes().GetMeanOf(2)), 110);
  cr_assert_geq(
      CountMilliseconds(admission.PredictEnd(At(ms), MakeOffer(++id, 2, ms, ms)) - At(ms)), 200);
}
