// Guards against a resent request that counts as new each time, so that its latency objective
// starts again, and against a new request that counts as resent because its caller has a shorter
// timeout than others.
#include <criterion/criterion.h>

#include "Retry/unserved_requests.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TimePoint At(int ms) { return TimePoint(milliseconds(ms)); }

}  // namespace

Test(returning_requests, counts_from_the_first_arrival) {
  UnservedRequests requests;
  cr_assert(requests.FindFirstArrival(At(100), 7) == At(100));
  requests.RecordUnserved(At(100), 7);
  cr_assert(requests.FindFirstArrival(At(400), 7) == At(100));
  requests.RecordUnserved(At(100), 7);
  cr_assert(requests.FindFirstArrival(At(900), 7) == At(100));
  cr_assert(requests.FindFirstArrival(At(900), 8) == At(900));
}

Test(returning_requests, removes_old_entries_and_limits_their_number) {
  UnservedRequests requests;
  requests.RecordUnserved(At(0), 7);
  const TimePoint later = At(1) + UnservedRequests::kRetentionTime;
  cr_assert(requests.FindFirstArrival(later, 7) == later);
  cr_assert_eq(requests.GetCount(), 0);
  for (std::uint64_t i = 0; i < 3 * UnservedRequests::kMaxRemembered; ++i) {
    requests.RecordUnserved(later, i);
  }
  cr_assert_eq(requests.GetCount(), UnservedRequests::kMaxRemembered);
}
