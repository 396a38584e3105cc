// Guards against a watch of the store that waits for half a minute although its response was lost,
// and against needless calls to the store.
#include <criterion/criterion.h>

#include <chrono>
#include <random>

#include "Store/watch_silence.h"
#include "Store/watch_time.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{seconds(10)};

}  // namespace

Test(watch_silence, a_watch_that_misses_a_known_change_is_silent_after_the_response_time) {
  WatchSilence watch;
  watch.Begin(kStart, 5);
  watch.RecordChange(kStart + seconds(3), 6);
  cr_assert_not(watch.TakeSilence(kStart + seconds(3)));
  cr_assert_not(watch.TakeSilence(kStart + seconds(5) - milliseconds(1)));
  cr_assert(watch.TakeSilence(kStart + seconds(5)));
}

Test(watch_silence, the_response_time_begins_with_the_watch_if_the_change_was_known_before) {
  WatchSilence watch;
  watch.RecordChange(kStart, 6);
  watch.Begin(kStart + seconds(3), 5);
  cr_assert_not(watch.TakeSilence(kStart + seconds(4)));
  cr_assert(watch.TakeSilence(kStart + seconds(5)));
}

Test(watch_silence, a_change_that_the_store_does_not_list_is_reported_once) {
  WatchSilence watch;
  watch.Begin(kStart, 5);
  watch.RecordChange(kStart, 6);
  cr_assert(watch.TakeSilence(kStart + seconds(2)));
  watch.Begin(kStart + seconds(2), 5);
  watch.RecordChange(kStart + seconds(3), 6);
  cr_assert_not(watch.TakeSilence(kStart + seconds(30)));
  watch.RecordChange(kStart + seconds(30), 7);
  cr_assert(watch.TakeSilence(kStart + seconds(32)));
}

Test(watch_silence, a_watch_that_has_ended_or_that_knows_the_change_is_not_silent) {
  WatchSilence watch;
  watch.Begin(kStart, 5);
  watch.RecordChange(kStart, 5);
  cr_assert_not(watch.TakeSilence(kStart + seconds(30)));
  watch.RecordChange(kStart, 6);
  watch.End();
  cr_assert_not(watch.TakeSilence(kStart + seconds(30)));
}

Test(watch_time, the_watches_of_a_small_fleet_are_short_and_those_of_a_large_one_long) {
  std::mt19937_64 random(1);
  for (int i = 0; i < 100; ++i) {
    cr_assert_leq(ComputeWatchTime(1, random).count(), Duration(seconds(3)).count());
    cr_assert_geq(ComputeWatchTime(4, random).count(), Duration(seconds(2)).count());
    cr_assert_leq(ComputeWatchTime(4, random).count(), Duration(seconds(12)).count());
    cr_assert_eq(ComputeWatchTime(18, random).count(), Duration(seconds(29)).count());
    // Before the list of hosts has been read.
    cr_assert_leq(ComputeWatchTime(0, random).count(), Duration(seconds(3)).count());
  }
}
