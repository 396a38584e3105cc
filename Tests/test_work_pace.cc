// Guards against estimates that trust an old figure of a machine whose speed changes many times a
// second, or that ignore a new one.
#include <criterion/criterion.h>

#include "Admission/work_pace.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

// States a figure every 50 ms for 20 seconds: 250 for the first 300 ms of every two seconds, and
// 100 otherwise.
WorkPace MakeUnsteady() {
  WorkPace pace;
  for (int ms = 0; ms < 20000; ms += 50) {
    pace.Record(At(ms), ms % 2000 < 300 ? 250 : 100);
  }
  return pace;
}

}  // namespace

Test(work_pace, is_neutral_without_figures) {
  const WorkPace pace;
  cr_assert_not(pace.IsKnown());
  cr_assert_eq(pace.EstimateFactor(At(1000)), 1);
}

Test(work_pace, learns_how_long_figures_last) {
  const Duration lifetime = MakeUnsteady().GetLifetime();
  cr_assert_geq(lifetime.count(), Duration(milliseconds(700)).count());
  cr_assert_leq(lifetime.count(), Duration(milliseconds(1400)).count());
}

Test(work_pace, moves_from_the_newest_figure_to_the_mean) {
  WorkPace pace = MakeUnsteady();
  pace.Record(At(20000), 250);
  const double fresh = pace.EstimateFactor(At(20000));
  const double aged = pace.EstimateFactor(At(20000) + pace.GetLifetime());
  cr_assert_geq(fresh, 1.9);
  cr_assert_leq(aged, 1 + (fresh - 1) / 2);
  cr_assert_geq(aged, 1);
  cr_assert_leq(pace.EstimateFactor(At(20000) + seconds(20)), 1.01);
}

Test(work_pace, survives_senseless_figures) {
  WorkPace pace;
  pace.Record(At(0), 0);
  pace.Record(At(0), 4'000'000'000);
  pace.Record(At(10), 4'000'000'000);
  cr_assert_geq(pace.EstimateFactor(At(10)), 0.1);
  cr_assert_leq(pace.EstimateFactor(At(10)), 10.0);
}
