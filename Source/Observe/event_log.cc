#include "Observe/event_log.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "Core/sharded.h"
#include "Http/boot_clock.h"
#include "Observe/line_budget.h"

namespace lacewingbridge {

namespace {

// Lines that wait for a slow reader of standard output; beyond it the oldest are dropped.
constexpr std::size_t kQueueLines = 1024;

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

std::shared_ptr<spdlog::logger> MakeLogger() {
  spdlog::init_thread_pool(kQueueLines, 1);
  auto logger = std::make_shared<spdlog::async_logger>(
      "events", std::make_shared<spdlog::sinks::stdout_sink_mt>(), spdlog::thread_pool(),
      spdlog::async_overflow_policy::overrun_oldest);
  logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ %v", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::info);
  return logger;
}

spdlog::logger& GetLogger() {
  static const std::shared_ptr<spdlog::logger> logger = MakeLogger();
  return *logger;
}

Sharded<LineBudget>& GetBudgets() {
  static Sharded<LineBudget> budgets(kEventCatalogue.size(), [] { return LineBudget(); });
  return budgets;
}

void WriteFields(const EventDescription& description, std::string_view particulars) {
  GetLogger().info("level={} event=LW{:04} host={} text=\"{}\"{}{}", description.level,
                   static_cast<int>(description.id), GetOptions().host, description.text,
                   particulars.empty() ? "" : " ", particulars);
}

}  // namespace

void EventLog::Configure(std::string_view host, std::string_view least_level) {
  GetOptions() = {std::string(host), GetSeverity(least_level)};
}

bool EventLog::TakeLine(Event event) {
  const EventDescription& description = FindDescription(event);
  if (GetSeverity(description.level) < GetOptions().least_severity) {
    return false;
  }
  const auto position = static_cast<std::uint64_t>(&description - kEventCatalogue.data());
  const LineVerdict verdict =
      GetBudgets().WithShard(position, [](LineBudget& budget) { return budget.Take(GetNow()); });
  if (verdict.write && verdict.dropped_before > 0) {
    WriteFields(
        FindDescription(Event::kLinesDropped),
        fmt::format("of=LW{:04} count={}", static_cast<int>(event), verdict.dropped_before));
  }
  return verdict.write;
}

void EventLog::WriteLine(Event event, std::string_view particulars) {
  WriteFields(FindDescription(event), particulars);
}

bool EventLog::Flush(Duration limit) {
  auto done = std::make_shared<std::promise<void>>();
  std::future<void> written = done->get_future();
  // The queue's thread may be blocked in a write, and its owner waits for it.
  std::thread([done] {
    spdlog::shutdown();
    done->set_value();
  }).detach();
  return written.wait_for(limit) == std::future_status::ready;
}

}  // namespace lacewingbridge
