#ifndef LACEWINGBRIDGE_SOURCE_ADMISSION_TARGET_ADMISSION_H_
#define LACEWINGBRIDGE_SOURCE_ADMISSION_TARGET_ADMISSION_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "Admission/admission_types.h"
#include "Admission/fair_share.h"
#include "Admission/service_times.h"
#include "Admission/work_pace.h"
#include "Core/time_point.h"

namespace lacewingbridge {

// A request for a slot of the target, with the data that admission decides on.
struct WorkOffer {
  RequestId id = 0;
  // 0 is the most urgent.
  std::uint32_t priority = 0;
  // A response after this time still counts, but for less than one before it.
  TimePoint objective_at;
  // A response after this time is of no use to the caller.
  TimePoint deadline;
  // When the link of this host is free for the response, and how long the response takes on it;
  // see LinkSchedule.
  TimePoint link_free_at;
  Duration transfer{0};
  // When the response is expected to have left this host, as predicted when the request arrived.
  TimePoint predicted_end;
  // Whether the sender can choose another target after a refusal.
  bool has_alternatives = false;
  // Empty if the request has none.
  std::string workspace;
  // Requests of one class need similar work; empty: those of one priority do.
  std::optional<std::uint32_t> work_class;

  std::uint32_t GetWorkClass() const { return this->work_class.value_or(this->priority); }
};

// Admits requests to the slots of the target beside this daemon and queues those that have to
// wait. All requests for the target pass through this daemon. The class is made for overload that
// lasts for seconds: there are more requests than slots, they have several priorities, and each
// caller gives up at a deadline but has an objective, an earlier time by which it wants the
// response.
//
// Requests with a more urgent priority start first. Within a priority, requests that can still
// meet their objective start before those that cannot. Among these, requests of workspaces within
// their fair share start first, then those of the workspace that is least beyond its share.
// Requests with an equal share, to a service time, start in the order of their objectives.
//
// A request is refused on arrival if it would wait longer than one service time. The queue is
// therefore short, and the caller's daemon can choose another target at once. With a longer
// queue, every request would wait until its objective has nearly passed and then miss it because
// service times vary.
//
// A request is also refused, even while a slot is free, if the link of this host cannot carry its
// response in time, or if it would miss its objective here while the target's machine is slow at
// this moment and its sender has other targets. The sender cannot know of the moment in time.
//
// Not thread-safe; the caller passes the current time.
class TargetAdmission {
 public:
  // A request that misses its objective waits at most a quarter of the time until its deadline.
  // A caller that is refused waits at most a third of its time before it resends the request, so
  // a longer wait in the queue would cost the caller more than a refusal.
  static constexpr int kLateWaitDivisor = 4;
  // A request counts as on time if 1.5 times the mean service time fits before its objective.
  // About nine in ten requests of the known targets take no longer than that.
  static constexpr int kServiceMarginTenths = 15;
  // A long response counts as on time if three further ones of its size fit between its predicted
  // end and the objective. On a full link, the responses ahead of it are scheduled up to the
  // predicted end, and only their mean size is known. Without a margin, most responses would be
  // slightly late.
  static constexpr int kLinkMarginResponses = 3;
  // The machine of the target is slow while work takes longer than this multiple of its mean time.
  static constexpr double kSlowFactor = 1.3;

  // Admits, queues or refuses a request.
  AdmissionVerdict Offer(TimePoint now, const WorkOffer& offer);

  // Predicts when the response to a request that arrives now has left this host.
  TimePoint PredictEnd(TimePoint now, const WorkOffer& offer) const;

  // Frees the slot of an admitted request that has ended. Ignores an unknown id. A request that was
  // not served enters the service time only if it took longer than the average: a target that fails
  // or rejects requests at once is not a fast one.
  AdmissionRelease Finish(TimePoint now, RequestId id, bool served = true);

  // Removes a waiting request that its caller has given up. Ignores an unknown id.
  void Cancel(RequestId id);

  // Refuses the waiting requests that have reached their latest start time or their deadline.
  AdmissionRelease Expire(TimePoint now);

  // Sets the number of slots. With 0 slots the target takes no new requests, and all waiting
  // requests are refused.
  AdmissionRelease SetSlots(TimePoint now, std::uint32_t new_slots);

  // Estimates the time until a request of the priority that arrives now starts.
  Duration EstimateWait(TimePoint now, std::uint32_t priority) const;

  // Returns the time until the workspace has room in its fair share; zero if it has now.
  Duration GetShareWait(TimePoint now, std::string_view workspace) const;

  // Numbers of workspaces, for operators.
  struct ShareCounts {
    // Those that have taken room while others waited.
    std::size_t known = 0;
    std::size_t beyond = 0;
  };
  ShareCounts CountShares(TimePoint now) const {
    return {this->shares.GetWorkspaceCount(),
            this->shares.CountBeyond(now, std::max(this->service_times.GetMean(), Duration{1}))};
  }

  // Records how long work takes on the target's machine at this moment, as the target states it.
  void RecordWorkPercent(TimePoint now, std::uint32_t percent) { this->pace.Record(now, percent); }

  // Times from admission to the end of a request, at the mean pace of the target's machine.
  const ServiceTimes& GetServiceTimes() const { return this->service_times; }
  const WorkPace& GetPace() const { return this->pace; }
  std::size_t GetRunningCount() const { return this->running.size(); }
  std::size_t GetWaitingCount() const { return this->waiting.size(); }
  std::uint32_t GetSlots() const { return this->slots; }

 private:
  struct Running {
    std::uint32_t work_class = 0;
    TimePoint started_at;
    double start_factor = 1;
    std::string workspace;
    // Slot time that was counted for the workspace; zero if no other one waited.
    Duration counted{0};
  };
  struct Waiting {
    WorkOffer offer;
    // Latest start time. The request is refused if it has not started by then.
    TimePoint latest_start;
  };

  static bool IsLinkFreeBy(TimePoint time, const WorkOffer& offer) {
    return offer.transfer == Duration{0} || offer.link_free_at <= time;
  }
  // Returns when a response that is ready at the given time has left this host.
  static TimePoint ComputeResponseEnd(TimePoint ready, const WorkOffer& offer);
  // Place of a request in the order of the queue. The lowest one starts first.
  struct Rank {
    std::uint32_t priority = 0;
    bool late = false;
    std::int64_t excess = 0;
    // Time until the objective, or the negative time until the deadline of a late request.
    Duration objective{0};
    bool operator<(const Rank& other) const {
      return std::tie(this->priority, this->late, this->excess, this->objective) <
             std::tie(other.priority, other.late, other.excess, other.objective);
    }
  };
  Rank GetRank(TimePoint now, const WorkOffer& offer) const;
  // Estimates when a request of the rank that arrives now starts. Requires at least one slot.
  TimePoint EstimateStart(TimePoint now, const Rank& rank) const;
  // Returns the time by which a request that is estimated to start at the given time has to start.
  TimePoint GetLatestStart(TimePoint now, TimePoint start, const WorkOffer& offer) const;
  // Estimates the service time of a request that starts at the given time.
  Duration EstimateServiceTime(TimePoint start, std::uint32_t work_class) const;
  // Returns the service time that kServiceMarginTenths allows for.
  Duration GetServiceTimeWithMargin(TimePoint start, std::uint32_t work_class) const;
  // Returns how long the slots are taken on average by the given number of requests.
  Duration EstimateQueueTime(TimePoint now, std::int64_t requests) const;
  // Whether the response is expected by the objective if the request starts at the given time.
  bool IsOnTime(TimePoint start, const WorkOffer& offer) const;
  // Slot time that the workspace of the request has taken beyond its share, in whole service times.
  // Work is counted whole when it starts, so smaller differences say nothing.
  std::int64_t GetExcess(TimePoint now, const WorkOffer& offer) const;
  // Whether work of another workspace waits.
  bool IsShared(const WorkOffer& offer) const;
  void Start(TimePoint now, const WorkOffer& offer);
  // Refuses what Expire refuses and starts waiting requests while slots are free.
  AdmissionRelease Release(TimePoint now);

  std::uint32_t slots = 0;
  std::unordered_map<RequestId, Running> running;
  std::vector<Waiting> waiting;
  WorkPace pace;
  ServiceTimes service_times;
  FairShare shares;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ADMISSION_TARGET_ADMISSION_H_
