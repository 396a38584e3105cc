#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_DAEMON_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_DAEMON_H_

#include <algorithm>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "Admission/admission_queue.h"
#include "Retry/retry_budget.h"
#include "Retry/retry_policy.h"
#include "Routing/target_selector.h"

namespace lacewingbridge {

// A caller's request in the simulation; its index is its id.
struct OverloadRequest {
  RequestPriority priority = RequestPriority::kNormal;
  std::uint32_t daemon = 0;
  TimePoint arrived_at;
  TimePoint deadline;
  std::uint32_t attempts = 0;
  std::vector<std::string> tried;
  TimePoint sent_at;
  bool earlier_may_have_run = false;
};

// Any known target at random, sent again until the deadline, without admission.
class RandomDaemon {
 public:
  void UpdateTargets(TimePoint /*now*/, std::span<const TargetEndpoint> targets) {
    this->addresses.clear();
    for (const TargetEndpoint& target : targets) {
      this->addresses.push_back(target.address);
    }
  }

  template <typename Simulation>
  void Offer(TimePoint now, RequestId id, Simulation& simulation) {
    std::uniform_int_distribution<std::size_t> draw(0, this->addresses.size() - 1);
    simulation.Send(now, id, this->addresses[draw(simulation.GetRandom())]);
  }

  template <typename Simulation>
  void Finish(TimePoint now, RequestId id, TargetOutcome outcome, Simulation& simulation) {
    if (outcome == TargetOutcome::kOk) {
      simulation.Complete(now, id);
    } else if (now < simulation.GetRequest(id).deadline) {
      this->Offer(now, id, simulation);
    } else {
      simulation.Refuse(id);
    }
  }

  template <typename Simulation>
  void Tick(TimePoint /*now*/, Simulation& /*simulation*/) {}

 private:
  std::vector<std::string> addresses;
};

// Selector, queue and retry budget as the daemon combines them.
template <ReservePolicy Policy, QueueOrder Order>
class PolicyDaemon {
 public:
  void UpdateTargets(TimePoint now, std::span<const TargetEndpoint> targets) {
    this->selector.UpdateTargets(now, targets);
  }

  template <typename Simulation>
  void Offer(TimePoint now, RequestId id, Simulation& simulation) {
    this->budget.RecordRequest(now);
    const OverloadRequest& request = simulation.GetRequest(id);
    switch (this->queue.Offer(now, id, request.priority, request.deadline)) {
      case AdmissionVerdict::kAdmitted:
        this->Dispatch(now, id, simulation);
        break;
      case AdmissionVerdict::kQueued:
        break;
      default:
        simulation.Refuse(id);
    }
  }

  template <typename Simulation>
  void Finish(TimePoint now, RequestId id, TargetOutcome outcome, Simulation& simulation) {
    OverloadRequest& request = simulation.GetRequest(id);
    this->selector.ReportFinish(now, request.tried.back(), outcome, now - request.sent_at);
    RetryAttempt attempt;
    attempt.outcome = outcome;
    attempt.attempts = request.attempts;
    attempt.time_left = request.deadline - now;
    attempt.expected_latency = this->selector.GetLatency(request.tried.back());
    const RetryDecision decision = RetryPolicy::Decide(now, {true, 2}, attempt, this->budget);
    if (decision.action == RetryAction::kRetryElsewhere) {
      this->Dispatch(now, id, simulation);
      return;
    }
    if (outcome == TargetOutcome::kOk) {
      simulation.Complete(now, id);
    } else {
      simulation.Refuse(id);
    }
    this->End(now, id, simulation);
  }

  template <typename Simulation>
  void Tick(TimePoint now, Simulation& simulation) {
    this->Apply(now, this->queue.SetSlots(now, this->selector.CountUsableSlots(now)), simulation);
  }

 private:
  template <typename Simulation>
  void Dispatch(TimePoint now, RequestId id, Simulation& simulation) {
    OverloadRequest& request = simulation.GetRequest(id);
    const TargetChoice choice = this->selector.Select(now, simulation.GetRandom(), request.tried);
    if (choice.kind != TargetChoiceKind::kTarget) {
      simulation.Refuse(id);
      this->End(now, id, simulation);
      return;
    }
    this->selector.ReportStart(choice.address);
    request.tried.push_back(choice.address);
    simulation.Send(now, id, choice.address);
  }

  template <typename Simulation>
  void End(TimePoint now, RequestId id, Simulation& simulation) {
    this->Apply(now, this->queue.Finish(now, id), simulation);
  }

  template <typename Simulation>
  void Apply(TimePoint now, const AdmissionRelease& release, Simulation& simulation) {
    for (RequestId id : release.refused) {
      simulation.Refuse(id);
    }
    for (RequestId id : release.admitted) {
      this->Dispatch(now, id, simulation);
    }
  }

  static constexpr std::uint32_t kQueueLimit = 64;  // default of the rules file
  TargetSelector selector{"c1", "carolinas", std::chrono::seconds(2)};
  AdmissionQueue<Policy, Order> queue{kQueueLimit};
  RetryBudget budget{TimePoint{}};
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_OVERLOAD_DAEMON_H_
