// Guards against targets that are compared by the mixture of requests that they happened to run.
#include <criterion/criterion.h>

#include "Admission/service_times.h"
#include "Routing/class_times.h"
#include "Routing/work_class.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;

namespace {

constexpr std::uint32_t kCall = 1;
constexpr std::uint32_t kOrder = 2;
constexpr std::uint32_t kRare = 3;

}  // namespace

Test(class_times, two_routes_of_one_service_are_two_classes) {
  cr_assert_neq(ComputeWorkClass("stock-lookup"), ComputeWorkClass("print-order"));
}

Test(class_times, a_target_that_runs_only_calls_is_not_faster_for_it) {
  ClassTimes of_calls;
  of_calls.Record(kCall, milliseconds(75));
  ClassTimes of_orders;
  of_orders.Record(kOrder, milliseconds(450));
  ClassTimes of_both;
  of_both.Record(kCall, milliseconds(150));
  of_both.Record(kOrder, milliseconds(900));
  ClassTimeMeans means;
  means.Add(of_calls);
  means.Add(of_orders);
  means.Add(of_both);
  cr_assert_float_eq(means.ComputeSlowness(of_calls), means.ComputeSlowness(of_orders), 0.001);
  cr_assert_gt(means.ComputeSlowness(of_both), 1.3);
  cr_assert_float_eq(means.ComputeSlowness(ClassTimes()), 1, 0.001);
}

Test(class_times, the_means_forget_a_target_that_has_left) {
  ClassTimes staying;
  staying.Record(kCall, milliseconds(100));
  ClassTimes leaving;
  leaving.Record(kCall, milliseconds(300));
  leaving.Record(kRare, milliseconds(5));
  ClassTimeMeans means;
  means.Add(staying);
  means.Add(leaving);
  means.Remove(leaving);
  cr_assert(means.Find(kCall) == milliseconds(100));
  cr_assert(!means.Find(kRare).has_value());
}

// Guards against state that grows with the number of routes, and against routes that are seldom
// called and displace those that matter.
Test(class_times, a_class_that_is_in_use_is_kept_beside_many_rare_ones) {
  ClassTimes of_target;
  ServiceTimes of_admission;
  for (std::uint32_t rare = 100; rare < 1000; ++rare) {
    of_target.Record(kOrder, milliseconds(400));
    of_target.Record(rare, milliseconds(2));
    of_admission.Record(kOrder, milliseconds(400));
    of_admission.Record(rare, milliseconds(2));
  }
  cr_assert_eq(of_target.GetAll().size(), ClassTimes::kMaxClasses);
  cr_assert(of_target.Find(kOrder) == milliseconds(400));
  cr_assert(of_admission.GetMeanOf(kOrder) == milliseconds(400));
  cr_assert(of_admission.GetMeanOf(100) == of_admission.GetMean(), "it is not known any more");
}
