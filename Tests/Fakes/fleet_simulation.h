#ifndef LACEWINGBRIDGE_TESTS_FAKES_FLEET_SIMULATION_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FLEET_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "Admission/failure_throttle.h"
#include "Admission/link_schedule.h"
#include "Admission/target_admission.h"
#include "Routing/hop_placement.h"

namespace lacewingbridge {

// Describes a fleet that serves one service with targets of different speeds, and the load of
// requests for that service.
struct FleetLoad {
  std::size_t daemons = 0;
  std::size_t data_centres = 1;
  std::size_t regions = 1;
  // Number of targets. They run beside the first daemons of the fleet.
  std::size_t targets = 0;
  std::uint32_t slots = 0;
  // Speeds of the targets, assigned in turn. A speed of 2 halves the time that a request takes.
  std::vector<double> speeds;
  // Capacity of the link of each host; 0 means that it is not limited.
  std::uint64_t link_bytes_per_second = 0;
  // Mean rate of arrivals in the whole fleet.
  double per_second = 0;
  Duration mean_work{0};
  // Standard deviation of the logarithm of the work.
  double work_spread = 0.3;
  Duration objective{0};
  Duration deadline{0};
  double mean_response_bytes = 5000;
  // Standard deviation of the logarithm of the response size.
  double response_spread = 0.6;
  // Share of requests of a lighter class, which is more urgent and needs this work.
  double light_share = 0;
  Duration light_work{0};
  // Whether both classes have one priority. Requests of the lighter one are then calls that running
  // requests make: they have their own objective, which is also their deadline, and are not resent.
  bool light_are_calls = false;
  Duration light_objective{0};
  // Relative amplitude and period of the demand of each data centre. The waves of the data centres
  // are spread over two fifths of the period.
  double swing = 0;
  Duration swing_period = std::chrono::seconds(13);
  // At any moment, this share of the targets takes slow_factor times as long for the work that it
  // starts. Each target draws its state anew after an interval of this mean length.
  double slow_share = 0;
  double slow_factor = 1;
  Duration slow_interval = std::chrono::milliseconds(600);
  // Whether targets state how long work takes at this moment.
  bool states_work_percent = true;
  // Requests are placed by the true state of all targets, for comparison.
  bool perfect_knowledge = false;
  // How often a refused caller resends its request.
  int resends = 2;
  // Number of targets that fail every request at once from failing_from on, and how long a failure
  // takes.
  std::size_t failing_targets = 0;
  Duration failing_from{0};
  Duration failure_time = std::chrono::milliseconds(2);
  // Start of the time in which FleetResult::failed_later and arrived_later are counted.
  Duration later_from{0};

  // Number of workspaces that send the requests, and how many times as many the first one sends as
  // each of the others.
  std::size_t workspaces = 0;
  double hot_factor = 1;
  // Whether the daemons beside the targets tell the others which workspaces are beyond their share.
  bool states_share_wait = true;

  // Number of requests per second that the targets can serve with all slots in use.
  double CountServable() const;
};

// Numbers of requests by outcome, of refused hops, and of responses by target.
struct FleetResult {
  std::uint32_t arrived = 0;
  std::uint32_t on_time = 0;
  std::uint32_t late = 0;
  std::uint32_t refused = 0;
  // Requests of the lighter class that arrived, and those that were served on time.
  std::uint32_t arrived_light = 0;
  std::uint32_t on_time_light = 0;
  // Hops that the daemon beside a target refused.
  std::uint32_t refused_hops = 0;
  // Requests that a failing target has failed: from failing_from on, and from later_from on.
  std::uint32_t failed = 0;
  std::uint32_t failed_later = 0;
  // Requests that arrived from later_from on.
  std::uint32_t arrived_later = 0;
  std::vector<std::uint32_t> responses_by_target;
  // Requests that arrived and those that were served, by workspace.
  std::vector<std::uint32_t> arrived_by_workspace;
  std::vector<std::uint32_t> served_by_workspace;
  // Refusals that callers received, and the hops that were refused before them, by workspace.
  std::vector<std::uint32_t> refusals_by_workspace;
  std::vector<std::uint32_t> refused_hops_by_workspace;
  // Slot time that was used.
  Duration slot_time{0};
  // Hops to another region.
  std::uint32_t remote_hops = 0;
  // Time from arrival to response of each request; that of a refused one is the deadline.
  std::vector<Duration> times;
};

// Simulates a fleet in simulated time: the callers, the HopPlacement of every daemon, and the
// TargetAdmission and LinkSchedule beside every target. Reports travel with the responses, so they
// are as old as in a real fleet of that size.
class FleetSimulation {
 public:
  FleetSimulation(const FleetLoad& fleet_load, std::uint64_t seed);

  FleetResult Run(Duration length);

 private:
  struct Target {
    TargetAdmission admission;
    LinkSchedule link;
    FailureThrottle throttle;
    double speed = 1;
    bool slow = false;
    // Requests on their way to the target, in seconds of work.
    double inbound = 0;
  };
  struct Request {
    // 0 for the usual class, 1 for the lighter one.
    std::uint32_t weight_class = 0;
    std::size_t caller = 0;
    std::size_t target = 0;
    std::uint64_t response_bytes = 0;
    TimePoint arrived_at;
    TimePoint objective_at;
    TimePoint deadline;
    std::vector<std::string> refused_by;
    bool has_alternatives = false;
    std::uint32_t refused_hops = 0;
    std::size_t share_refusals = 0;
    int resends_left = 0;
    bool fails = false;
    std::string workspace;
    TimePoint started_at;
  };
  struct Event {
    TimePoint at;
    std::uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->at != other.at ? this->at > other.at : this->order > other.order;
    }
  };

  static Duration FromSeconds(double seconds) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }
  HostRecord MakeHost(std::size_t number) const;
  // Whether the target fails the requests that it gets now.
  bool IsFailing(std::size_t target) const;
  std::uint64_t DrawResponseBytes();
  // Returns the one-way network delay between the hosts of a caller and a target.
  Duration GetNetworkDelay(std::size_t caller, std::size_t target) const;
  // Schedules an action.
  void Schedule(TimePoint at, std::function<void()> action);
  void AddArrivals(Duration length);
  // Whether a request that the peak demand of the data centre holds is part of its demand then.
  bool IsInDemand(TimePoint at, std::size_t data_centre);
  // Redraws the moment of a target, now and from then on.
  void ChangePace(std::size_t target, Duration length);
  double GetPace(std::size_t target) const;
  // Returns the target with the earliest expected response.
  std::size_t FindBestTarget(const Request& request) const;
  Duration GetMeanWork(const Request& request) const;
  std::uint32_t GetPriority(const Request& request) const {
    return this->load.light_are_calls ? 1 : 2 - request.weight_class;
  }
  // Returns the class of work that a caller's daemon states.
  static std::uint32_t GetWorkClass(const Request& request) { return request.weight_class; }
  WorkspaceWork GetWork(const Request& request) const {
    return {request.workspace, this->GetPriority(request)};
  }
  // Draws the workspace of a request that arrives.
  void SetWorkspace(Request& request);
  void Place(RequestId id);
  void Offer(RequestId id);
  void Begin(RequestId id);
  void End(RequestId id);
  // Counts a response that has arrived at the caller's daemon.
  void Deliver(RequestId id);
  void Refuse(RequestId id, bool beyond_share = false);
  void HandleRefusal(RequestId id, const HopReport& report);
  // Refuses the request to its caller, which may resend it later.
  void RefuseToCaller(RequestId id, bool beyond_share = false);
  // Starts the admitted requests and refuses the others.
  void Apply(const AdmissionRelease& release);
  HopReport MakeReport(const Request& request) const;

  const FleetLoad load;
  std::mt19937_64 random;
  std::vector<Target> targets;
  // One placement for each daemon.
  std::vector<HopPlacement> placements;
  std::unordered_map<RequestId, Request> requests;
  std::priority_queue<Event> events;
  std::uint64_t last_event = 0;
  RequestId last_id = 0;
  TimePoint now;
  FleetResult result;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FLEET_SIMULATION_H_
