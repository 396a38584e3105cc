#ifndef LACEWINGBRIDGE_SOURCE_OBSERVE_EVENT_LOG_H_
#define LACEWINGBRIDGE_SOURCE_OBSERVE_EVENT_LOG_H_

#include <fmt/format.h>

#include <string_view>
#include <utility>

#include "Core/time_point.h"
#include "events.h"

namespace lacewingbridge {

// Writes numbered events to standard output, one line of key=value pairs each:
// time=2026-12-04T11:00:00.123Z level=info event=LW0200 host=a1 text="..." number=3
// Lines are written by a thread of their own; a slow reader loses lines instead of delaying
// requests, and each kind of event has a bounded rate.
class EventLog {
 public:
  // Sets the host name shown in each line and the least severe level written.
  static void Configure(std::string_view host, std::string_view least_level);

  // Writes what is queued; nothing may be logged afterwards. False if the reader of standard
  // output has not taken it all within the limit; then the process has to end by _exit.
  static bool Flush(Duration limit);

  // Writes the event with particulars given as a fmt format string.
  template <typename... Args>
  static void Write(Event event, fmt::format_string<Args...> format, Args&&... args) {
    // A line that is left out costs no formatting.
    if (TakeLine(event)) {
      WriteLine(event, fmt::format(format, std::forward<Args>(args)...));
    }
  }

 private:
  // Whether the event is severe enough and within its rate. Reports lines left out before.
  static bool TakeLine(Event event);
  static void WriteLine(Event event, std::string_view particulars);
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_OBSERVE_EVENT_LOG_H_
