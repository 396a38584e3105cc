// Guards against requests that wait for the reader of standard output, and against a
// process that cannot end because nobody reads it.
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "Http/boot_clock.h"
#include "Observe/event_log.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Makes standard output a pipe that nobody reads.
void StopStandardOutput() {
  int ends[2];
  cr_assert_eq(pipe(ends), 0);
  cr_assert_geq(dup2(ends[1], STDOUT_FILENO), 0);
}

}  // namespace

Test(log, writing_does_not_wait_for_a_stopped_reader) {
  StopStandardOutput();
  EventLog::Configure("h1", "info");
  const std::string padding(500, 'x');
  const TimePoint begin = GetNow();
  // Events of several kinds, so that more passes the bounds on the rate than a pipe holds.
  for (int i = 0; i < 2000; ++i) {
    EventLog::Write(Event::kRequestEnded, "request={} {}", i, padding);
    EventLog::Write(Event::kHopEnded, "request={} {}", i, padding);
    EventLog::Write(Event::kTargetHopEnded, "request={} {}", i, padding);
  }
  cr_assert_lt((GetNow() - begin).count(), Duration(seconds(1)).count());
}

Test(log, the_end_of_the_process_does_not_wait_for_a_stopped_reader) {
  StopStandardOutput();
  EventLog::Configure("h1", "info");
  const std::string padding(5000, 'x');
  for (int i = 0; i < 200; ++i) {
    EventLog::Write(Event::kRequestEnded, "request={} {}", i, padding);
  }
  const TimePoint begin = GetNow();
  cr_assert(!EventLog::Flush(milliseconds(200)));
  cr_assert_lt((GetNow() - begin).count(), Duration(seconds(1)).count());
  // The thread that writes is still blocked; a regular exit would wait for it.
  _exit(0);
}
