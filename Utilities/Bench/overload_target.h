#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_TARGET_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_TARGET_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>

#include "Core/time_point.h"

namespace lacewingbridge {

struct OverloadTargetSettings {
  std::uint32_t slots = 9;
  // Requests wait in the target before it sheds; it does not know their deadlines.
  std::uint32_t backlog = 18;
  Duration fixed_time = std::chrono::milliseconds(10);
  Duration mean_variable_time = std::chrono::milliseconds(10);
  Duration refusal_work{0};  // spent on a request that is shed
  double slowness = 1;
  bool lies = false;  // reports no load
  TimePoint starts_at;
  Duration cold_time{0};   // four times slower at its start, evening out over this time
  TimePoint refuses_from;  // refuses connections in this period
  TimePoint refuses_until;
};

// A target in injected time with a fixed number of slots and a short backlog.
class OverloadTarget {
 public:
  enum class Reply { kStarted, kWaiting, kShed, kConnectionRefused };
  struct Job {
    std::uint64_t id = 0;
    TimePoint ends_at;
  };

  explicit OverloadTarget(const OverloadTargetSettings& target_settings)
      : settings(target_settings) {}

  Reply Offer(TimePoint now, std::uint64_t id, std::mt19937_64& random, Job& started);

  // Ends a job; returns the next one from the backlog.
  std::optional<Job> Finish(TimePoint now, std::mt19937_64& random);

  std::uint32_t GetReportPermille() const;
  const OverloadTargetSettings& GetSettings() const { return this->settings; }

 private:
  Job Start(TimePoint now, std::uint64_t id, std::mt19937_64& random);

  OverloadTargetSettings settings;
  std::uint32_t running = 0;
  std::deque<std::uint64_t> waiting;
  Duration pending_refusal_work{0};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_TARGET_H_
