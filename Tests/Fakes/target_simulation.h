#ifndef LACEWINGBRIDGE_TESTS_FAKES_TARGET_SIMULATION_H_
#define LACEWINGBRIDGE_TESTS_FAKES_TARGET_SIMULATION_H_

#include <cstdint>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Admission/target_admission.h"

namespace lacewingbridge {

// The requests of one priority that arrive at a target, and how they behave.
struct SimulatedLoad {
  // Mean rate of arrivals.
  double per_second = 0;
  std::uint32_t priority = 0;
  Duration mean_work{0};
  Duration objective{0};
  Duration deadline{0};
  // How often a refused caller resends its request, and after which time.
  int resends = 0;
  Duration resend_interval{0};
  std::string workspace;
};

// Numbers of requests by outcome.
struct SimulationResult {
  std::uint32_t arrived = 0;
  std::uint32_t on_time = 0;
  std::uint32_t late = 0;
  std::uint32_t refused = 0;

  // Returns the mean value of a request. A late response counts 0.3 of one that is on time.
  double GetCredit() const {
    return (this->on_time + 0.3 * this->late) / static_cast<double>(this->arrived);
  }
};

// Simulates a target under overload. Requests with Poisson arrivals and log-normal work pass
// through a TargetAdmission in simulated time.
class TargetSimulation {
 public:
  TargetSimulation(std::uint32_t slots, std::uint64_t seed) : random(seed) {
    this->admission.SetSlots(TimePoint(), slots);
  }

  std::vector<SimulationResult> Run(const std::vector<SimulatedLoad>& simulated_loads,
                                    Duration length) {
    this->loads = simulated_loads;
    this->results.assign(loads.size(), {});
    for (std::size_t i = 0; i < loads.size(); ++i) {
      this->AddArrivals(loads[i], i, length);
    }
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      if (event.ends) {
        this->End(event);
      } else {
        this->Arrive(event, this->loads[event.load]);
      }
      this->Apply(event.at, this->admission.Expire(event.at));
    }
    return this->results;
  }

 private:
  struct Event {
    TimePoint at;
    bool ends = false;
    RequestId id = 0;
    std::size_t load = 0;
    bool operator<(const Event& other) const { return this->at > other.at; }
  };
  struct Request {
    TimePoint arrived_at;
    std::size_t load = 0;
    Duration work{0};
    int resends_left = 0;
  };

  static Duration FromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

  void AddArrivals(const SimulatedLoad& load, std::size_t index, Duration length) {
    std::exponential_distribution<double> gap(load.per_second);
    std::lognormal_distribution<double> spread(-0.045, 0.3);
    for (TimePoint at; at - TimePoint() < length; at += FromSeconds(gap(this->random))) {
      const RequestId id = ++this->last_id;
      const double work = std::chrono::duration<double>(load.mean_work).count();
      this->requests[id] = {at, index, FromSeconds(work * spread(this->random)), load.resends};
      this->events.push({at, false, id, index});
    }
  }

  void Arrive(const Event& event, const SimulatedLoad& load) {
    const TimePoint first = this->requests.at(event.id).arrived_at;
    if (event.at == first) {
      ++this->results[event.load].arrived;
    }
    WorkOffer offer{event.id, load.priority, first + load.objective, first + load.deadline};
    offer.workspace = load.workspace;
    switch (this->admission.Offer(event.at, offer)) {
      case AdmissionVerdict::kAdmitted:
        this->Begin(event.at, event.id);
        break;
      case AdmissionVerdict::kQueued:
        break;
      default:
        this->Refuse(event.at, event.id);
    }
  }

  void Refuse(TimePoint now, RequestId id) {
    Request& request = this->requests.at(id);
    const SimulatedLoad& load = this->loads[request.load];
    if (request.resends_left-- > 0) {
      this->events.push({now + load.resend_interval, false, id, request.load});
    } else {
      ++this->results[request.load].refused;
    }
  }

  void Begin(TimePoint now, RequestId id) {
    const Request& request = this->requests.at(id);
    this->events.push({now + request.work, true, id, request.load});
  }

  void End(const Event& event) {
    const Request& request = this->requests.at(event.id);
    const Duration taken = event.at - request.arrived_at;
    SimulationResult& result = this->results[event.load];
    if (taken <= this->loads[event.load].objective) {
      ++result.on_time;
    } else if (taken <= this->loads[event.load].deadline) {
      ++result.late;
    }
    this->Apply(event.at, this->admission.Finish(event.at, event.id));
  }

  void Apply(TimePoint now, const AdmissionRelease& release) {
    for (const RequestId id : release.admitted) {
      this->Begin(now, id);
    }
    for (const RequestId id : release.refused) {
      this->Refuse(now, id);
    }
  }

  std::mt19937_64 random;
  TargetAdmission admission;
  std::priority_queue<Event> events;
  std::map<RequestId, Request> requests;
  std::vector<SimulatedLoad> loads;
  std::vector<SimulationResult> results;
  RequestId last_id = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_TARGET_SIMULATION_H_
