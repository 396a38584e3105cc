#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_SIMULATION_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "overload_daemon.h"
#include "overload_figures.h"
#include "overload_target.h"

namespace lacewingbridge {

struct OverloadScenario {
  std::uint32_t slots = 9;
  double load = 1;  // offered rate relative to the capacity of the targets
  std::uint64_t seed = 0;
  // Work that a target spends on shedding a request, added to the next one it runs.
  Duration refusal_work = std::chrono::microseconds(200);
};

// One service: as many daemons as targets, each daemon with its own callers and its own
// view, in injected time.
template <typename Daemon>
class OverloadSimulation {
 public:
  explicit OverloadSimulation(const OverloadScenario& wanted)
      : scenario(wanted), random(wanted.seed), daemons(kTargets) {
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets.emplace_back(this->MakeTargetSettings(i));
    }
  }

  OverloadFigures Run() {
    this->figures.measured_seconds = std::chrono::duration<double>(kLastMeasured - kWarmUp).count();
    this->figures.capacity_per_second = this->GetCapacity();
    this->UpdateReports(TimePoint{});
    this->Push({TimePoint{}, EventKind::kArrival, 0, 0});
    this->Push({TimePoint{}, EventKind::kTick, 0, 0});
    this->Push({TimePoint{kReportInterval}, EventKind::kReport, 0, 0});
    while (!this->events.empty() && this->events.top().time < kEnd) {
      const SimulationEvent event = this->events.top();
      this->events.pop();
      this->Handle(event);
    }
    return std::move(this->figures);
  }

  std::mt19937_64& GetRandom() { return this->random; }
  OverloadRequest& GetRequest(RequestId id) { return this->requests[id]; }

  void Send(TimePoint now, RequestId id, std::string_view address) {
    OverloadRequest& request = this->requests[id];
    ++request.attempts;
    request.sent_at = now;
    this->figures.attempts += this->IsMeasured(request) ? 1 : 0;
    const auto target = static_cast<std::uint32_t>(address.back() - '0');
    OverloadTarget::Job job;
    switch (this->targets[target].Offer(now, id, this->random, job)) {
      case OverloadTarget::Reply::kStarted:
        this->Push({job.ends_at, EventKind::kDone, id, target});
        break;
      case OverloadTarget::Reply::kWaiting:
        break;
      case OverloadTarget::Reply::kShed:
        this->Push({now + kRefusalTime, EventKind::kShed, id, target});
        break;
      case OverloadTarget::Reply::kConnectionRefused:
        this->Push({now + kRefusalTime, EventKind::kRefused, id, target});
        break;
    }
  }

  void Complete(TimePoint now, RequestId id) {
    const OverloadRequest& request = this->requests[id];
    if (!this->IsMeasured(request)) {
      return;
    }
    const auto priority = static_cast<std::size_t>(request.priority);
    this->figures.latencies[priority].push_back(now - request.arrived_at);
    ++(now <= request.deadline ? this->figures.in_time : this->figures.late)[priority];
  }

  void Refuse(RequestId id) {
    const OverloadRequest& request = this->requests[id];
    if (this->IsMeasured(request)) {
      ++this->figures.refused[static_cast<std::size_t>(request.priority)];
    }
  }

 private:
  enum class EventKind { kArrival, kDone, kShed, kRefused, kTick, kReport };
  struct SimulationEvent {
    TimePoint time;
    EventKind kind;
    RequestId id;
    std::uint32_t target;
    bool operator>(const SimulationEvent& other) const { return this->time > other.time; }
  };

  static constexpr std::size_t kTargets = 6;
  static constexpr TimePoint kWarmUp{std::chrono::seconds(2)};
  // The last second is left out, so that the measured requests can end.
  static constexpr TimePoint kLastMeasured{std::chrono::seconds(13)};
  static constexpr TimePoint kEnd{std::chrono::seconds(14)};
  static constexpr Duration kTick = std::chrono::milliseconds(5);
  static constexpr Duration kReportInterval = std::chrono::seconds(1);
  // A refusal takes one round trip of 1 ms in each direction.
  static constexpr Duration kRefusalTime = std::chrono::milliseconds(2);

  // Target 1 is half as fast and reports no load, target 3 refuses connections for one
  // second, target 5 starts cold at 4 s.
  OverloadTargetSettings MakeTargetSettings(std::size_t index) const {
    OverloadTargetSettings settings;
    settings.slots = this->scenario.slots;
    settings.backlog = 2 * this->scenario.slots;
    settings.refusal_work = this->scenario.refusal_work;
    if (index == 1) {
      settings.slowness = 2;
      settings.lies = true;
    } else if (index == 3) {
      settings.refuses_from = TimePoint{std::chrono::seconds(7)};
      settings.refuses_until = TimePoint{std::chrono::seconds(8)};
    } else if (index == 5) {
      settings.starts_at = TimePoint{std::chrono::seconds(4)};
      settings.cold_time = std::chrono::seconds(2);
    }
    return settings;
  }

  // Requests a second that all targets can run once they are warm.
  double GetCapacity() const {
    double capacity = 0;
    for (const OverloadTarget& target : this->targets) {
      const OverloadTargetSettings& settings = target.GetSettings();
      const std::chrono::duration<double> mean =
          (settings.fixed_time + settings.mean_variable_time) * settings.slowness;
      capacity += settings.slots / mean.count();
    }
    return capacity;
  }

  bool IsMeasured(const OverloadRequest& request) const {
    return request.arrived_at >= kWarmUp && request.arrived_at < kLastMeasured;
  }

  void Push(const SimulationEvent& event) { this->events.push(event); }

  void Handle(const SimulationEvent& event) {
    switch (event.kind) {
      case EventKind::kArrival:
        this->HandleArrival(event.time);
        break;
      case EventKind::kDone:
        this->HandleDone(event);
        break;
      case EventKind::kShed:
        this->Report(event, TargetOutcome::kShed);
        break;
      case EventKind::kRefused:
        this->Report(event, TargetOutcome::kConnectionRefused);
        break;
      case EventKind::kTick:
        for (Daemon& daemon : this->daemons) {
          daemon.Tick(event.time, *this);
        }
        this->Push({event.time + kTick, EventKind::kTick, 0, 0});
        break;
      case EventKind::kReport:
        this->UpdateReports(event.time);
        this->Push({event.time + kReportInterval, EventKind::kReport, 0, 0});
        break;
    }
  }

  void Report(const SimulationEvent& event, TargetOutcome outcome) {
    const std::uint32_t daemon = this->requests[event.id].daemon;
    this->daemons[daemon].Finish(event.time, event.id, outcome, *this);
  }

  void HandleDone(const SimulationEvent& event) {
    if (const auto next = this->targets[event.target].Finish(event.time, this->random)) {
      this->Push({next->ends_at, EventKind::kDone, next->id, event.target});
    }
    this->Report(event, TargetOutcome::kOk);
  }

  // 5 % internal checks, 75 % normal and 20 % low calls.
  void HandleArrival(TimePoint now) {
    const double rate = this->figures.capacity_per_second * this->scenario.load;
    const std::chrono::duration<double> gap(
        std::exponential_distribution<double>(rate)(this->random));
    this->Push({now + std::chrono::duration_cast<Duration>(gap), EventKind::kArrival, 0, 0});
    const std::uint64_t draw = this->random() % 100;
    OverloadRequest request;
    Duration time = std::chrono::milliseconds(500);
    if (draw < 5) {
      request.priority = RequestPriority::kInternal;
      time = std::chrono::milliseconds(200);
    } else if (draw >= 80) {
      request.priority = RequestPriority::kLow;
    }
    request.daemon = static_cast<std::uint32_t>(this->random() % kTargets);
    request.arrived_at = now;
    request.deadline = now + time;
    this->requests.push_back(request);
    if (this->IsMeasured(request)) {
      ++this->figures.offered[static_cast<std::size_t>(request.priority)];
    }
    this->daemons[request.daemon].Offer(now, this->requests.size() - 1, *this);
  }

  // Daemons get the reports of the previous interval.
  void UpdateReports(TimePoint now) {
    std::vector<TargetEndpoint> endpoints;
    this->reports.resize(kTargets);
    for (std::size_t i = 0; i < kTargets; ++i) {
      const OverloadTargetSettings& settings = this->targets[i].GetSettings();
      if (now >= settings.starts_at) {
        endpoints.push_back({std::string(1, static_cast<char>('0' + i)), "h", "c1", "carolinas",
                             settings.slots, false, this->reports[i]});
      }
      this->reports[i] = this->targets[i].GetReportPermille();
    }
    for (Daemon& daemon : this->daemons) {
      daemon.UpdateTargets(now, endpoints);
    }
  }

  OverloadScenario scenario;
  std::mt19937_64 random;
  std::vector<Daemon> daemons;
  std::vector<OverloadTarget> targets;
  std::vector<std::uint32_t> reports;
  std::vector<OverloadRequest> requests;
  std::priority_queue<SimulationEvent, std::vector<SimulationEvent>, std::greater<>> events;
  OverloadFigures figures;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_SIMULATION_H_
