// Guards against store calls that grow with the square of the fleet: each host changes from time to
// time, and each change is a call from every daemon.
#include <criterion/criterion.h>

#include "Store/hosts_pause.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::seconds;

Test(hosts_pause, bounds_the_calls_of_a_daemon_whatever_the_size_of_the_fleet) {
  // A host changes about four times when it is replaced, and one in twenty is replaced in 10 s.
  for (const std::size_t hosts : {24U, 195U, 900U}) {
    const double changes_per_second = static_cast<double>(hosts) * 4 / 20 / 10;
    const double pause =
        std::chrono::duration<double>(ComputeHostsPause(hosts, seconds(60))).count();
    const double calls_per_second = 1 / (pause + 1 / changes_per_second);
    cr_assert_leq(calls_per_second, 0.5, "%f calls per second with %zu hosts", calls_per_second,
                  hosts);
  }
  cr_assert(ComputeHostsPause(900, seconds(60)) > ComputeHostsPause(24, seconds(60)));
}

// Guards against daemons that know few hosts for long after many have started at once: after a loss
// of power of all hosts they refused what they could have served.
Test(hosts_pause, reads_often_after_a_start) {
  cr_assert(ComputeHostsPause(900, seconds(1)) <= seconds(1));
  cr_assert(ComputeHostsPause(24, seconds(9)) <= seconds(1));
}

// A new host has to receive work within seconds.
Test(hosts_pause, finds_new_hosts_within_seconds) {
  cr_assert(ComputeHostsPause(100'000, seconds(60)) <= seconds(4));
}
