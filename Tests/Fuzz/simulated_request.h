#ifndef LACEWINGBRIDGE_TESTS_FUZZ_SIMULATED_REQUEST_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_SIMULATED_REQUEST_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Claims/claim_gate.h"
#include "Core/hash.h"
#include "Fuzz/request_oracle.h"
#include "Quarantine/quarantine_table.h"
#include "Retry/retry_policy.h"
#include "Routing/target_choice.h"

namespace lacewingbridge {

// One transmission of a request, handled by one daemon process in the same order as in
// ProxyRequest: claim the key, choose a target, send, retry, and report the outcome to the
// owner of the key. World provides the simulated time, network and oracle. Parts names the
// types of the gate and the retry policy.
template <typename World, typename Parts>
class SimulatedRequest : public std::enable_shared_from_this<SimulatedRequest<World, Parts>> {
 public:
  SimulatedRequest(World& own_world, std::size_t own_host, std::uint64_t own_send)
      : world(own_world),
        host(own_host),
        send(own_send),
        request(own_world.oracle.GetSend(own_send)),
        deadline(own_world.events.GetNow() + std::chrono::seconds(2)),
        fingerprint(ComputeFingerprint("route", this->request.key)),
        gate(this->MakeFacts(), {own_world.GetDaemon(own_host).host,
                                 own_world.GetDaemon(own_host).incarnation, own_send}) {}

  void Start() {
    auto& daemon = this->world.GetDaemon(this->host);
    daemon.budget.RecordRequest(this->GetNow());
    this->PerformStep(
        this->gate.Begin(this->GetNow(), daemon.view.GetEpoch(), std::chrono::seconds(2)));
  }

 private:
  ClaimFacts MakeFacts() const {
    return {this->request.idempotent,
            this->request.idempotent ? ClaimKeyRule::kNone : ClaimKeyRule::kRequired,
            this->request.key, HashBytes(this->request.key)};
  }
  TimePoint GetNow() const { return this->world.events.GetNow(); }

  // Sends the report of the step, if it has one, and performs its action.
  void PerformStep(const ClaimGateStep& step) {
    if (step.report.has_value()) {
      this->world.SendReport(this->host, *step.report, 10);
    }
    const auto self = this->shared_from_this();
    switch (step.action) {
      case ClaimGateAction::kAskOwner:
        this->world.AskOwner(this->host, *step.ask, [self](const std::optional<ClaimReply>& reply) {
          self->PerformStep(self->gate.HandleReply(self->GetNow(), reply));
        });
        break;
      case ClaimGateAction::kRefreshMap:
        this->PerformStep(
            this->gate.AskAgain(this->GetNow(), this->world.GetDaemon(this->host).view.GetEpoch()));
        break;
      case ClaimGateAction::kRunNow:
        // The delay leaves room for a pause of the process between the grant and the first
        // byte to a target.
        this->world.Schedule(this->host, std::chrono::milliseconds(this->world.random() % 20),
                             [self] { self->SendToTarget(); });
        break;
      case ClaimGateAction::kSendStoredResponse:
        this->world.oracle.RecordResponse(this->send, step.stored->answer);
        break;
      case ClaimGateAction::kRefuseNotRun:
        this->world.oracle.RecordNotRun(this->send);
        break;
      default:
        break;
    }
  }

  // Sends the request to a target. Ends it if its claim no longer allows a start or no target
  // is available.
  void SendToTarget() {
    const std::optional<std::string> target =
        this->gate.IsStartAllowed(this->GetNow()) ? this->ChooseTarget() : std::nullopt;
    if (!target.has_value()) {
      this->End(this->state.earlier_may_have_run ? ClaimAttemptOutcome::kLost
                                                 : ClaimAttemptOutcome::kNotRun);
      return;
    }
    this->world.Send(this->host, this->send, *target, this->deadline - this->GetNow(),
                     [self = this->shared_from_this(), address = *target,
                      started = this->GetNow()](TargetOutcome outcome) {
                       self->HandleOutcome(address, outcome, self->GetNow() - started);
                     });
  }

  // Returns the address of a target that was not tried yet and that the quarantine table
  // admits, and records the start there. Returns nullopt if there is none.
  std::optional<std::string> ChooseTarget() {
    auto& daemon = this->world.GetDaemon(this->host);
    std::vector<std::string> excluded = this->tried;
    while (true) {
      const TargetChoice choice =
          daemon.selector.Select(this->GetNow(), this->world.random, excluded);
      if (choice.kind != TargetChoiceKind::kTarget) {
        return std::nullopt;
      }
      const QuarantineDecision decision =
          daemon.quarantine.MayStart(this->GetNow(), this->fingerprint, choice.address);
      if (decision == QuarantineDecision::kQuarantined) {
        return std::nullopt;
      }
      if (decision == QuarantineDecision::kRun) {
        daemon.selector.ReportStart(choice.address);
        daemon.quarantine.Start(this->fingerprint, choice.address);
        return choice.address;
      }
      excluded.push_back(choice.address);
    }
  }

  // Records the outcome of one attempt and follows the decision of the retry policy.
  void HandleOutcome(const std::string& address, TargetOutcome outcome, Duration latency) {
    auto& daemon = this->world.GetDaemon(this->host);
    const TimePoint now = this->GetNow();
    daemon.selector.ReportFinish(now, address, outcome, latency);
    if (outcome == TargetOutcome::kLostMidRequest) {
      daemon.quarantine.RecordLostConnection(now, this->fingerprint, address,
                                             daemon.target_incarnations[address]);
    }
    if (!this->world.IsListening(address)) {
      daemon.quarantine.RecordRefusedConnection(now, address);
    }
    daemon.quarantine.Finish(this->GetNow(), this->fingerprint, address,
                             outcome == TargetOutcome::kOk);
    this->tried.push_back(address);
    ++this->state.attempts;
    this->state.outcome = outcome;
    this->state.time_left = std::max(this->deadline - now, Duration{0});
    this->state.expected_latency = daemon.selector.GetLatency(address);
    const RetryRoute route{this->request.idempotent, this->request.idempotent ? 2U : 0U};
    const RetryDecision decision = Parts::Policy::Decide(now, route, this->state, daemon.budget);
    this->state.earlier_may_have_run |= RetryPolicy::MayHaveRun(outcome);
    switch (decision.action) {
      case RetryAction::kDeliverResponse:
        this->End(ClaimAttemptOutcome::kAnswered);
        break;
      case RetryAction::kRetryElsewhere:
        this->SendToTarget();
        break;
      case RetryAction::kGiveUpNotRun:
        this->End(ClaimAttemptOutcome::kNotRun);
        break;
      case RetryAction::kGiveUpUnknown:
        this->End(ClaimAttemptOutcome::kLost);
        break;
    }
  }

  // Ends the request: reports the outcome to the gate and, if the gate allows it, delivers the
  // response to the caller.
  void End(ClaimAttemptOutcome outcome) {
    const std::string response = RequestOracle::MakeResponse(this->request);
    const ClaimGateStep step = this->gate.HandleResult({outcome, 200, response, "text/plain"});
    if (step.action == ClaimGateAction::kForwardResponse) {
      this->world.oracle.RecordResponse(this->send, response);
    }
    this->PerformStep(step);
  }

  World& world;
  std::size_t host;
  std::uint64_t send;
  RequestOracle::Send request;
  TimePoint deadline;
  std::uint64_t fingerprint;
  typename Parts::Gate gate;
  RetryAttempt state{.attempts = 0};
  std::vector<std::string> tried;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_SIMULATED_REQUEST_H_
