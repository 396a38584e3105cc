#ifndef LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_WORLD_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_WORLD_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Fuzz/event_queue.h"
#include "Fuzz/fault_state.h"
#include "Fuzz/fuzz_step.h"
#include "Fuzz/request_daemon.h"
#include "Fuzz/request_oracle.h"
#include "Fuzz/request_target.h"
#include "Fuzz/simulated_request.h"

namespace lacewingbridge {

// Simulation of four daemons that own keys and send requests to five targets, with callers
// that resend requests through any daemon. The owner map is fixed here; the tests with
// ClaimsCluster cover changes of the map.
template <typename Parts>
class RequestWorld {
 public:
  using Daemon = RequestDaemon<Parts>;
  using Request = SimulatedRequest<RequestWorld, Parts>;
  static constexpr std::size_t kHosts = 4;
  static constexpr std::size_t kTargets = 5;
  // Wall clock for claims. Its value has no effect because the keys carry no time.
  static constexpr std::uint64_t kUnixMs = 1'796'000'000'000;
  // Longest time until every daemon that is not paused knows that a target drains.
  static constexpr Duration kMaxTargetUpdateDelay = std::chrono::seconds(2);

  explicit RequestWorld(std::uint64_t seed) : random(seed) {
    ClaimOwnerMap map{1, {}, {}};
    for (std::size_t host = 0; host < kHosts; ++host) {
      map.hosts.push_back("host-" + std::to_string(host));
      map.incarnations.push_back(host + 1);
    }
    this->view.Adopt(map);
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->StartDaemon(host);
    }
    for (std::size_t i = 0; i < kTargets; ++i) {
      this->targets[i].address = "10.1.0." + std::to_string(i) + ":9000";
    }
    this->RefreshAllDaemons();
  }

  void RunStep(const FuzzStep& step) {
    // Seeding for each step makes its random draws independent of the steps before it, so
    // that the rest of a history behaves similarly after steps are removed by shrinking.
    this->random.seed(std::uint64_t{step.first} << 32U | step.second);
    const std::size_t host = step.first % kHosts;
    RequestTarget& target = this->targets[step.first % kTargets];
    switch (step.action % kActions) {
      case 0:
      case 1:
      case 2:
        this->SendRequest(host, "key-" + std::to_string(step.second % 6), false);
        break;
      case 3:
      case 4:
        this->SendRequest(host, "lookup-" + std::to_string(step.second % 6), true);
        break;
      case 5:
        this->RestartDaemon(host);
        break;
      case 6:
        this->Pause(host, std::chrono::milliseconds(step.second % 30000));
        break;
      case 7:
        this->CrashTarget(target);
        break;
      case 8:
        this->RestartTarget(target);
        break;
      case 9:
        this->DrainTarget(target);
        break;
      default:
        this->RunFault(step, target);
        break;
    }
    this->Advance(std::chrono::milliseconds((step.second >> 8U) % 800));
  }

  // Ends the network faults and runs the simulation until pending requests have ended.
  void Finish() {
    this->faults = FaultState{};
    this->Advance(std::chrono::seconds(60));
    runs += this->oracle.GetRunCount();
    responses += this->oracle.GetResponseCount();
  }

  const std::string& GetViolation() const { return this->oracle.GetViolation(); }
  static std::string Describe(const FuzzStep& step) {
    static constexpr const char* kNames[kActions] = {
        "order",        "order",         "order",        "lookup",    "lookup", "restart daemon",
        "pause daemon", "crash target",  "start target", "drain",     "shed",   "false load",
        "slow target",  "lose messages", "heal network", "crash key", "wait"};
    return std::string(kNames[step.action % kActions]) + " first " + std::to_string(step.first) +
           " second " + std::to_string(step.second);
  }

  // The members from here to Send are used by SimulatedRequest.
  Daemon& GetDaemon(std::size_t host) { return *this->daemons[host]; }
  bool IsListening(std::string_view address) { return this->FindTarget(address).alive; }

  // Runs the action after the delay in the process that the host has now. While the process
  // is paused, the action waits; if the process ends before, the action is dropped.
  void Schedule(std::size_t host, Duration delay, std::function<void()> action) {
    const std::weak_ptr<Daemon> weak = this->daemons[host];
    this->events.Add(delay, [this, host, weak, action = std::move(action)] {
      const std::shared_ptr<Daemon> daemon = weak.lock();
      if (daemon != nullptr && this->events.GetNow() < daemon->paused_until) {
        this->Schedule(host, daemon->paused_until - this->events.GetNow(), action);
      } else if (daemon != nullptr) {
        action();
      }
    });
  }

  // Sends a claim to the owner of the key. Calls then(reply) at most once in the asking
  // process, with nullopt if no reply arrives within 2 s.
  template <typename Then>
  void AskOwner(std::size_t host, const ClaimRequest& request, Then then) {
    const std::size_t owner = this->FindOwner(request.key);
    auto waiting = std::make_shared<bool>(true);
    const auto finish = [waiting, then](const std::optional<ClaimReply>& reply) {
      if (std::exchange(*waiting, false)) {
        then(reply);
      }
    };
    this->Schedule(host, std::chrono::seconds(2), [finish] { finish(std::nullopt); });
    const std::weak_ptr<Daemon> caller = this->daemons[host];
    const int copies = this->faults.DrawFault(this->faults.repeated_percent, this->random) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (this->faults.DrawFault(this->faults.dropped_percent, this->random)) {
        continue;
      }
      this->Schedule(owner, this->faults.DrawDelay(this->random), [=, this] {
        const ClaimReply reply =
            this->daemons[owner]->table.Claim(this->events.GetNow(), kUnixMs, request);
        const bool lost = this->faults.DrawFault(this->faults.dropped_percent, this->random);
        if (!lost && caller.lock() == this->daemons[host]) {
          this->Schedule(host, this->faults.DrawDelay(this->random),
                         [finish, reply] { finish(reply); });
        }
      });
    }
  }

  // Reports an outcome to the owner of the key every 500 ms until the owner has recorded it or
  // the number of tries is used up.
  void SendReport(std::size_t host, const ClaimDoneRequest& report, int tries) {
    const std::size_t owner = this->FindOwner(report.key);
    auto recorded = std::make_shared<bool>(false);
    if (!this->faults.DrawFault(this->faults.dropped_percent, this->random)) {
      this->Schedule(owner, this->faults.DrawDelay(this->random), [=, this] {
        *recorded = this->daemons[owner]->table.Finish(this->events.GetNow(), report).recorded;
      });
    }
    if (tries > 1) {
      this->Schedule(host, std::chrono::milliseconds(500), [=, this] {
        if (!*recorded) {
          this->SendReport(host, report, tries - 1);
        }
      });
    }
  }

  // Sends a request to a target. Calls then(outcome) at most once in the sending process.
  template <typename Then>
  void Send(std::size_t host, std::uint64_t send, std::string_view address, Duration time_left,
            Then then) {
    RequestTarget& target = this->FindTarget(address);
    const Duration soon = std::chrono::milliseconds(1);
    if (!target.alive) {
      this->Schedule(host, soon, [then] { then(TargetOutcome::kConnectionRefused); });
      return;
    }
    if (target.shedding || target.in_flight >= 4) {
      this->Schedule(host, soon, [then] { then(TargetOutcome::kShed); });
      return;
    }
    const TimePoint now = this->events.GetNow();
    // A daemon that was paused may not know yet that the target drains.
    const TimePoint noticed =
        std::max(target.draining_since.value_or(now), this->daemons[host]->paused_until);
    this->oracle.RecordRun(send, now, now - noticed);
    if (this->oracle.GetSend(send).key == this->crashing_key) {
      this->CrashTarget(target);
      this->Schedule(host, soon, [then] { then(TargetOutcome::kLostMidRequest); });
      return;
    }
    this->Run(host, target, time_left, std::move(then));
  }

  EventQueue events;
  std::mt19937_64 random;
  RequestOracle oracle{kLimits.retention, kMaxTargetUpdateDelay + std::chrono::seconds(1)};

  // Totals over all instances in the program.
  inline static std::size_t runs = 0;
  inline static std::size_t responses = 0;

 private:
  static constexpr std::uint32_t kActions = 17;
  static constexpr ClaimLimits kLimits{std::chrono::seconds(20), std::chrono::seconds(5), 100,
                                       1 << 20};

  void RunFault(const FuzzStep& step, RequestTarget& target) {
    switch (step.action % kActions) {
      case 10:
        target.shedding = !target.shedding;
        break;
      case 11:
        target.reports_false_load = !target.reports_false_load;
        break;
      case 12:
        target.latency = std::chrono::milliseconds(step.second % 3000);
        break;
      case 13:
        this->faults.dropped_percent = step.first % 60;
        this->faults.repeated_percent = step.second % 40;
        this->faults.longest_delay = std::chrono::milliseconds(1 + step.second % 3000);
        break;
      case 14:
        this->faults = FaultState{};
        break;
      case 15:
        this->crashing_key = "lookup-" + std::to_string(step.first % 6);
        break;
      default:
        this->Advance(std::chrono::milliseconds(step.second % 10000));
        break;
    }
  }

  // Runs the request on the target. The outcome is kLostMidRequest if the target crashes, the
  // response is lost, or time_left passes first.
  template <typename Then>
  void Run(std::size_t host, RequestTarget& target, Duration time_left, Then then) {
    ++target.in_flight;
    auto waiting = std::make_shared<bool>(true);
    const auto finish = [waiting, then](TargetOutcome outcome) {
      if (std::exchange(*waiting, false)) {
        then(outcome);
      }
    };
    this->Schedule(host, std::max(time_left, Duration(1)),
                   [finish] { finish(TargetOutcome::kLostMidRequest); });
    const std::weak_ptr<Daemon> caller = this->daemons[host];
    const bool lost = this->faults.DrawFault(this->faults.dropped_percent, this->random);
    this->events.Add(target.latency + Duration(1),
                     [=, this, &target, incarnation = target.incarnation] {
                       const bool crashed = target.incarnation != incarnation || !target.alive;
                       target.in_flight -= crashed ? 0 : 1;
                       if (caller.lock() == this->daemons[host]) {
                         this->Schedule(host, Duration(1), [finish, fails = crashed || lost] {
                           finish(fails ? TargetOutcome::kLostMidRequest : TargetOutcome::kOk);
                         });
                       }
                     });
  }

  void SendRequest(std::size_t host, const std::string& key, bool idempotent) {
    const std::uint64_t send = this->oracle.AddSend({key, idempotent});
    this->Schedule(host, Duration{0},
                   [this, host, send] { std::make_shared<Request>(*this, host, send)->Start(); });
  }

  void StartDaemon(std::size_t host) {
    this->daemons[host] = std::make_shared<Daemon>(host, ++this->last_incarnation, kLimits,
                                                   this->view, this->events.GetNow());
  }
  // Replaces the process of the host. The other daemons learn that the old process is gone
  // within 3 s.
  void RestartDaemon(std::size_t host) {
    const std::uint64_t lost = this->daemons[host]->incarnation;
    this->StartDaemon(host);
    this->RefreshDaemon(host);
    for (std::size_t other = 0; other < kHosts; ++other) {
      this->Schedule(other, std::chrono::milliseconds(this->random() % 3000),
                     [this, other, host, lost] {
                       this->daemons[other]->table.MarkCallerGone(this->events.GetNow(),
                                                                  this->daemons[host]->host, lost);
                     });
    }
  }
  void Pause(std::size_t host, Duration duration) {
    TimePoint& until = this->daemons[host]->paused_until;
    until = std::max(until, this->events.GetNow() + duration);
  }

  void CrashTarget(RequestTarget& target) {
    target.alive = false;
    target.in_flight = 0;
  }
  void RestartTarget(RequestTarget& target) {
    target.alive = true;
    target.in_flight = 0;
    target.shedding = false;
    target.draining_since.reset();
    ++target.incarnation;
    this->RefreshAllDaemons();
  }
  void DrainTarget(RequestTarget& target) {
    if (target.alive && !target.draining_since.has_value()) {
      target.draining_since = this->events.GetNow();
      this->RefreshAllDaemons();
    }
  }

  // Sends the current state of all targets to every daemon, which receives it after a delay of
  // up to kMaxTargetUpdateDelay, or when its pause ends.
  void RefreshAllDaemons() {
    for (std::size_t host = 0; host < kHosts; ++host) {
      const auto limit = static_cast<std::uint64_t>(kMaxTargetUpdateDelay.count());
      this->Schedule(host, Duration(static_cast<std::int64_t>(this->random() % limit)),
                     [this, host] { this->RefreshDaemon(host); });
    }
  }
  void RefreshDaemon(std::size_t host) {
    Daemon& daemon = *this->daemons[host];
    std::vector<TargetEndpoint> endpoints;
    for (std::size_t i = 0; i < kTargets; ++i) {
      endpoints.push_back(this->targets[i].MakeEndpoint(i));
      std::uint64_t& known = daemon.target_incarnations[this->targets[i].address];
      if (std::exchange(known, this->targets[i].incarnation) != this->targets[i].incarnation) {
        daemon.quarantine.RecordIncarnation(this->events.GetNow(), this->targets[i].address, known);
      }
    }
    daemon.selector.UpdateTargets(this->events.GetNow(), endpoints);
  }

  RequestTarget& FindTarget(std::string_view address) {
    return *std::find_if(
        this->targets.begin(), this->targets.end(),
        [address](const RequestTarget& target) { return target.address == address; });
  }
  std::size_t FindOwner(std::string_view key) const {
    return static_cast<std::size_t>(this->view.FindOwner(key).back() - '0');
  }

  // Sends the new quarantine strikes of each daemon to all daemons, as gossip does.
  void SpreadStrikes() {
    for (std::size_t from = 0; from < kHosts; ++from) {
      const std::vector<QuarantineEvidence> strikes =
          this->daemons[from]->quarantine.TakeEvidence(this->events.GetNow(), 4);
      for (std::size_t to = 0; to < kHosts && !strikes.empty(); ++to) {
        if (!this->faults.DrawFault(this->faults.dropped_percent, this->random)) {
          this->Schedule(to, this->faults.DrawDelay(this->random), [this, to, strikes] {
            this->daemons[to]->quarantine.MergeEvidence(this->events.GetNow(), strikes);
          });
        }
      }
    }
  }
  void Advance(Duration duration) {
    this->SpreadStrikes();
    this->events.RunUntil(this->events.GetNow() + duration);
  }

  FaultState faults;
  ClaimOwnerView view;
  std::array<std::shared_ptr<Daemon>, kHosts> daemons;
  std::array<RequestTarget, kTargets> targets;
  std::uint64_t last_incarnation = 0;
  // Requests with this key crash every target that runs them; empty for none.
  std::string crashing_key;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_REQUEST_WORLD_H_
