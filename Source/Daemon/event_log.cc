#include "Daemon/event_log.h"

#include <fmt/chrono.h>

#include <chrono>
#include <cstdio>
#include <string>

namespace lacewingbridge {

namespace {

struct LogOptions {
  std::string host;
  int least_severity = 0;
};

// Set once before the daemon starts its threads.
LogOptions& GetOptions() {
  static LogOptions options;
  return options;
}

int GetSeverity(std::string_view level) {
  if (level == "error") {
    return 2;
  }
  return level == "warning" ? 1 : 0;
}

const EventDescription& FindDescription(Event event) {
  for (const EventDescription& description : kEventCatalogue) {
    if (description.id == event) {
      return description;
    }
  }
  return kEventCatalogue[0];
}

}  // namespace

void EventLog::Configure(std::string_view host, std::string_view least_level) {
  GetOptions() = {std::string(host), GetSeverity(least_level)};
}

bool EventLog::IsEnabled(Event event) {
  return GetSeverity(FindDescription(event).level) >= GetOptions().least_severity;
}

void EventLog::WriteLine(Event event, std::string_view particulars) {
  const EventDescription& description = FindDescription(event);
  const auto now =
      std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
  const auto milliseconds = now.time_since_epoch().count() % 1000;
  fmt::print(stderr, "{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} LW{:04} {}{}{}\n",
             fmt::gmtime(std::chrono::system_clock::to_time_t(now)), milliseconds,
             GetOptions().host, description.level, static_cast<int>(event), description.text,
             particulars.empty() ? "" : ": ", particulars);
}

}  // namespace lacewingbridge
