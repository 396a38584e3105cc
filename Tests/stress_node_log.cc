// Guards against requests that block until standard output is read, and against a process that
// cannot end because nobody reads it. This is a plain program without a test framework, because the
// writing thread stays blocked and the process has to end by _exit.
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "Http/boot_clock.h"
#include "Observe/event_log.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

int Check(bool passed, const char* what) {
  if (!passed) {
    std::fprintf(stderr, "FAILED: %s\n", what);
  }
  return passed ? 0 : 1;
}

// Replaces standard output by a pipe that nobody reads.
bool StopStandardOutput(std::array<int, 2>& ends) {
  return pipe(ends.data()) == 0 && dup2(ends[1], STDOUT_FILENO) >= 0;
}

}  // namespace

int main() {
  std::array<int, 2> ends{};
  std::signal(SIGPIPE, SIG_IGN);
  if (!StopStandardOutput(ends)) {
    std::perror("pipe");
    return EXIT_FAILURE;
  }
  EventLog::Configure("h1", "info");
  const std::string padding(500, 'x');
  int failures = 0;
  const TimePoint begin = GetNow();
  // Several event kinds, because the log limits the rate of each: together they pass more bytes
  // than a pipe holds.
  for (int i = 0; i < 2000; ++i) {
    EventLog::Write(Event::kRequestEnded, "request={} {}", i, padding);
    EventLog::Write(Event::kHopEnded, "request={} {}", i, padding);
    EventLog::Write(Event::kTargetHopEnded, "request={} {}", i, padding);
  }
  failures += Check(GetNow() - begin < seconds(1), "Write does not wait for the reader");
  const TimePoint flush_begin = GetNow();
  failures +=
      Check(!EventLog::Flush(milliseconds(200)), "the flush times out because the pipe is full");
  failures += Check(GetNow() - flush_begin < seconds(1), "Flush does not wait for the reader");
  // Ends the blocked write, because ThreadSanitizer waits for the thread at the end of the process.
  close(ends[0]);
  _exit(failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}
