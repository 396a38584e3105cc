// Guards against long responses that fill a slow link and delay all other traffic of the host, and
// against downloads that are all late because every one of them is admitted.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <utility>
#include <vector>

#include "Admission/link_schedule.h"
#include "Admission/target_admission.h"
#include "Store/table_pause.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSlowLink = 9'100'000 / 8;
constexpr std::uint64_t kDownload = 90'000;

TimePoint At(Duration since_start) { return TimePoint(seconds(10)) + since_start; }

// Simulates downloads that share a slow link, and counts them by outcome.
struct DownloadSimulation {
  int arrived = 0;
  int admitted = 0;
  int on_time = 0;

  // Downloads with Poisson arrivals reach a target with enough slots behind a slow link. The work
  // takes 160 ms, and a response is on time within 800 ms.
  void Run(double per_second, Duration length, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    std::exponential_distribution<double> gap(per_second);
    LinkSchedule link(kSlowLink);
    TargetAdmission admission;
    admission.SetSlots(At(Duration{0}), 9);
    std::multimap<TimePoint, std::pair<RequestId, TimePoint>> ends;
    RequestId id = 0;
    for (Duration since{0}; since < length;) {
      since += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random)));
      const TimePoint now = At(since);
      while (!ends.empty() && ends.begin()->first <= now) {
        const TimePoint done = ends.begin()->first;
        const auto [ended, objective] = ends.begin()->second;
        ends.erase(ends.begin());
        admission.Finish(done, ended);
        link.RemoveExpectedResponse(ended);
        const Duration wait = link.Reserve(done, kDownload);
        this->on_time += done + wait + link.GetTransferTime(kDownload) <= objective ? 1 : 0;
      }
      WorkOffer offer;
      offer.id = ++id;
      offer.objective_at = now + milliseconds(800);
      offer.deadline = now + seconds(6);
      offer.transfer = link.GetTransferTime(kDownload);
      offer.link_free_at = now + link.EstimateWait(now);
      ++this->arrived;
      if (admission.Offer(now, offer) == AdmissionVerdict::kAdmitted) {
        ++this->admitted;
        link.AddExpectedResponse(id, kDownload);
        ends.emplace(now + milliseconds(160), std::pair(id, offer.objective_at));
      }
    }
  }
};

}  // namespace

Test(link_schedule, long_responses_are_sent_one_after_the_other_and_short_ones_at_once) {
  cr_assert(rc::check([] {
    LinkSchedule link(kSlowLink);
    TimePoint now = At(Duration{0});
    TimePoint free_at = now;
    const auto sizes = *rc::gen::container<std::vector<std::uint64_t>>(
        rc::gen::inRange<std::uint64_t>(0, 600'000));
    for (const std::uint64_t bytes : sizes) {
      now += milliseconds(*rc::gen::inRange(0, 200));
      const Duration wait = link.Reserve(now, bytes);
      RC_ASSERT(wait >= Duration{0});
      if (bytes <= LinkSchedule::kMaxShortBytes) {
        RC_ASSERT(wait == Duration{0});
      } else {
        RC_ASSERT(now + wait >= free_at);
      }
      free_at = std::max(free_at, now + wait) + link.GetTransferTime(bytes);
    }
  }));
}

Test(link_schedule, an_unlimited_link_delays_nothing) {
  LinkSchedule link(0);
  for (int i = 0; i < 100; ++i) {
    link.AddExpectedResponse(static_cast<RequestId>(i), kDownload);
    cr_assert_eq(link.Reserve(At(Duration{0}), kDownload).count(), 0);
  }
  cr_assert_eq(link.EstimateWait(At(Duration{0})).count(), 0);
  cr_assert_eq(link.GetTransferTime(kDownload).count(), 0);
}

Test(link_schedule, counts_expected_responses_until_they_arrive) {
  LinkSchedule link(kSlowLink);
  link.AddExpectedResponse(1, kDownload);
  const Duration wait = link.EstimateWait(At(Duration{0}));
  cr_assert_gt(wait.count(), 0);
  link.RemoveExpectedResponse(1);
  link.RemoveExpectedResponse(1);
  cr_assert_eq(link.EstimateWait(At(Duration{0})).count(), 0);
}

// The users' downloads need 1.4 times the capacity of the link. When all of them were admitted,
// every response was late. The bound on responses in time is the capacity of the link.
Test(link_schedule, an_overloaded_link_carries_responses_in_time_instead_of_late_ones) {
  for (const std::uint64_t seed : {1U, 2U, 3U}) {
    DownloadSimulation simulation;
    simulation.Run(16, seconds(60), seed);
    const double capacity =
        60.0 / (LinkSchedule(kSlowLink).GetTransferTime(kDownload).count() / 1e6);
    cr_assert_geq(simulation.on_time, 0.9 * simulation.admitted, "%d of %d", simulation.on_time,
                  simulation.admitted);
    cr_assert_geq(simulation.on_time, 0.8 * std::min<double>(capacity, simulation.arrived),
                  "%d of %f", simulation.on_time, capacity);
  }
}

Test(table_pause, versions_take_a_seventh_of_a_slow_link_within_the_bound) {
  const Duration bound = seconds(3);
  cr_assert(ComputeTablePause(10'000, kSlowLink, bound) == bound / 4);
  cr_assert(ComputeTablePause(1'000'000, kSlowLink, bound) == bound / 2);
  cr_assert(ComputeTablePause(1'000'000, 0, bound) == bound / 4);
  for (const auto& [bytes, most] : {std::pair{250'000, 0.15}, {330'000, 0.17}}) {
    const Duration pause = ComputeTablePause(bytes, kSlowLink, bound);
    const double transfer = static_cast<double>(bytes) / kSlowLink;
    cr_assert_leq(transfer / (transfer + pause.count() / 1e6), most);
  }
  // A version that is written just after another one was asked for is still in time.
  for (const std::size_t bytes : {250'000, 330'000, 600'000}) {
    const Duration whole =
        ComputeTableTransfer(bytes, kSlowLink) * 2 + ComputeTablePause(bytes, kSlowLink, bound);
    cr_assert(whole < bound, "%zu bytes", bytes);
  }
}
