#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WORLD_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WORLD_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Fuzz/fuzz_step.h"
#include "Fuzz/version_node.h"
#include "Fuzz/version_submission.h"
#include "Observe/event_log.h"
#include "Rules/rules_delta.h"

namespace lacewingbridge {

// Simulation of eight daemons in four data centres of two regions, their operators and the
// store, with every fault of section 1.4 of the design page that concerns versions.
template <typename Parts>
class VersionWorld {
 public:
  using Node = VersionNode<Parts>;
  // Limits in simulated time after the last fault: until every daemon serves the highest
  // accepted version, and until the store holds the same version.
  static constexpr Duration kInForceLimit = std::chrono::seconds(60);
  static constexpr Duration kStoreAgreementLimit = std::chrono::seconds(90);
  // How long daemons and store must stay converged.
  static constexpr Duration kStablePeriod = std::chrono::seconds(20);

  explicit VersionWorld(std::uint64_t seed) : network(seed, {0, 0, 0, 1, 1, 2, 2, 3}) {
    EventLog::Configure("fuzz", "error");
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->StartHost(host);
    }
    this->Submit(0);
    this->Advance(std::chrono::seconds(10));
  }

  void RunStep(const FuzzStep& step) {
    // Seeding for each step makes its random draws independent of the steps before it, so
    // that the rest of a history behaves similarly after steps are removed by shrinking.
    this->network.random.seed(std::uint64_t{step.first} << 32U | step.second);
    const std::size_t host = step.first % kHosts;
    switch (step.action % kActions) {
      case 0:
      case 1:
      case 2:
        this->Submit(host);
        break;
      case 3:
        this->Resume(host, step.second);
        break;
      case 4:
        this->Crash(host);
        break;
      case 5:
        // Crashes a random set of hosts at the same time.
        for (std::size_t other = 0; other < kHosts; ++other) {
          if ((step.first >> other & 1U) != 0) {
            this->Crash(other);
          }
        }
        break;
      case 6:
      case 7:
        for (std::size_t other = 0; other < kHosts; ++other) {
          this->StartHost(other);
        }
        break;
      case 8:
        this->Pause(host, std::chrono::milliseconds(step.second % 15000));
        break;
      default:
        this->RunFault(step);
        break;
    }
    this->Advance(std::chrono::milliseconds(step.second >> 8U) % std::chrono::milliseconds(3000));
  }

  // Ends every fault and checks that the daemons and the store converge within the limits and
  // stay converged.
  void Finish() {
    this->Heal();
    this->WaitForPauses();
    VersionStamp expected = this->GetHighestSurviving();
    const bool text_lost = this->IsTextLost(expected);
    const TimePoint healed = this->network.events.GetNow();
    for (std::size_t host = 0; host < kHosts; ++host) {
      this->StartHost(host);
    }
    if (text_lost) {
      // Neither the store nor a daemon has the text any more. An operator must be able to
      // replace the version.
      ++texts_lost;
      this->SubmitBasedOn(0, {expected.number, ""});
      expected = {expected.number + 1, ""};
    }
    const auto in_force = [&] { return this->IsInForce(expected); };
    const auto agreed = [&] { return this->IsInForce(expected) && this->IsStoreAgreed(); };
    if (!this->WaitUntil(in_force, healed, kInForceLimit, longest_in_force) ||
        !this->WaitUntil(agreed, healed, kStoreAgreementLimit, longest_store)) {
      this->network.oracle.Report("I9", 0, "not converged: " + this->DescribeHeld(expected));
      return;
    }
    accepted += this->network.oracle.GetAcceptedCount();
    older_after_restart += this->network.oracle.GetOlderAfterRestart();
    this->Advance(kStablePeriod);
    if (!agreed()) {
      this->network.oracle.Report("I9", 0, "diverged again: " + this->DescribeHeld(expected));
    }
  }

  const std::string& GetViolation() const { return this->network.oracle.GetViolation(); }
  static std::string Describe(const FuzzStep& step) {
    static constexpr const char* kNames[kActions] = {
        "submit",        "submit",      "submit",     "resume",     "crash",     "crash set",
        "start all",     "start all",   "pause",      "store down", "store up",  "store slow",
        "lose replies",  "lose leases", "save state", "lose state", "partition", "cut store",
        "heal networks", "bad network", "announce",   "heal all"};
    return std::string(kNames[step.action % kActions]) + " host " +
           std::to_string(step.first % kHosts) + " first " + std::to_string(step.first) +
           " second " + std::to_string(step.second);
  }

  // Maxima and totals over all instances in the program.
  inline static Duration longest_in_force{};
  inline static Duration longest_store{};
  inline static std::size_t accepted = 0;
  inline static std::size_t older_after_restart = 0;
  inline static std::size_t texts_lost = 0;

 private:
  static constexpr std::size_t kHosts = 8;
  static constexpr std::uint32_t kActions = 22;

  void RunFault(const FuzzStep& step) {
    FaultState& faults = this->network.faults;
    FakeStore& store = this->network.store.store;
    const std::size_t left = step.first % 4;
    const std::size_t right = (left + 1 + step.second % 3) % 4;
    switch (step.action % kActions) {
      case 9:
        store.SetDown(true);
        break;
      case 10:
        store.SetDown(false);
        store.SetDelay(Duration{0});
        break;
      case 11:
        store.SetDelay(std::chrono::milliseconds(step.first % 3000));
        break;
      case 12:
        store.LoseSwapResponses(1 + step.first % 3);
        break;
      case 13:
        store.LoseLeaseResponses(1 + step.first % 3);
        break;
      case 14:
        store.SaveState();
        break;
      case 15:
        store.RestoreSavedState();
        this->network.oracle.RecordStateLoss();
        break;
      case 16:
        faults.partitions.insert(std::minmax(left, right));
        break;
      case 17:
        faults.partitioned_from_store.insert(left);
        break;
      case 18:
        faults = FaultState{};
        break;
      case 19:
        faults.dropped_percent = step.first % 50;
        faults.repeated_percent = step.second % 30;
        faults.corrupted_percent = step.first % 20;
        faults.longest_delay = std::chrono::milliseconds(1 + step.second % 1500);
        break;
      case 20:
        this->Announce(step.first % kHosts, step.second);
        break;
      default:
        this->Heal();
        break;
    }
  }

  // Ends the faults of the network and the store.
  void Heal() {
    this->network.faults = FaultState{};
    this->network.store.store.SetDown(false);
    this->network.store.store.SetDelay(Duration{0});
  }
  void WaitForPauses() {
    for (const std::shared_ptr<Node>& node : this->network.nodes) {
      if (node != nullptr) {
        this->Advance(std::max(node->GetPauseEnd() - this->network.events.GetNow(), Duration{0}));
      }
    }
  }

  void StartHost(std::size_t host) {
    if (this->network.nodes[host] == nullptr) {
      this->network.oracle.RecordStart(host);
      this->network.nodes[host] =
          std::make_shared<Node>(this->network, host, ++this->last_incarnation);
      this->network.nodes[host]->Start();
    }
  }
  void Crash(std::size_t host) { this->network.nodes[host].reset(); }
  void Pause(std::size_t host, Duration duration) {
    if (this->network.nodes[host] != nullptr) {
      this->network.nodes[host]->PauseUntil(this->network.events.GetNow() + duration);
    }
  }
  void Announce(std::size_t host, std::uint32_t choice) {
    if (this->network.nodes[host] != nullptr) {
      const std::string service = "service-" + std::to_string(choice % 5);
      const std::string address = "10.0.0." + std::to_string(host + 1) + ":9000";
      this->network.nodes[host]->Announce(
          {service, address, 1 + choice % 9, choice % 3 == 0, 0, 1});
    }
  }

  // An operator submits a change of the version that the daemon holds.
  void Submit(std::size_t host) {
    if (this->network.nodes[host] != nullptr) {
      this->SubmitBasedOn(host, this->network.nodes[host]->GetRules().GetStamp());
    }
  }
  // An operator submits a new version based on the given one.
  void SubmitBasedOn(std::size_t host, const VersionStamp& base) {
    SubmitRequest request;
    request.submission_id = "submission-" + std::to_string(this->requests.size());
    request.operator_name = "operator-" + std::to_string(this->requests.size() % 2);
    request.base = base;
    request.text = this->MakeText(request.submission_id);
    this->AddDelta(host, request);
    this->requests.push_back(request);
    this->StartSubmission(host, request);
  }
  // An operator resumes an earlier submission, whose outcome may not have been received.
  void Resume(std::size_t host, std::uint32_t choice) {
    if (this->network.nodes[host] != nullptr && !this->requests.empty()) {
      SubmitRequest request = this->requests[choice % this->requests.size()];
      request.resumed = true;
      this->StartSubmission(host, request);
    }
  }
  void StartSubmission(std::size_t host, const SubmitRequest& request) {
    using Submission = VersionSubmission<VersionNetwork<Node>, Node>;
    const std::uint64_t attempt = this->network.oracle.StartAttempt(request.submission_id);
    const auto submission = std::make_shared<Submission>(this->network, this->network.nodes[host],
                                                         host, request, attempt);
    this->network.nodes[host]->Schedule(Duration{0}, [submission] { submission->Start(); });
  }
  // In three of four cases, adds the delta from the version held if that is the base.
  void AddDelta(std::size_t host, SubmitRequest& request) {
    const auto held = this->network.nodes[host]->GetRules().GetHeld();
    if (held != nullptr && held->stamp == request.base && this->network.random() % 4 != 0) {
      RulesDeltaScript delta = RulesDelta::Compute(held->text, request.text);
      delta.parent = held->stamp;
      delta.result = {held->stamp.number + 1, ComputeDigest(request.text)};
      delta.origin = {request.submission_id, request.operator_name, 0};
      request.delta_encoded_bytes = Encode(delta).size();
      request.delta = std::move(delta);
    }
  }
  // Makes a text with a random subset of the services, so that versions differ in their services.
  std::string MakeText(const std::string& id) {
    std::string text;
    for (std::size_t i = 0; i < 5; ++i) {
      const std::string name = "service-" + std::to_string(i);
      if (i == 0 || this->network.random() % 2 == 0) {
        text += "service " + name + " # operator: " + id + "\n";
        text += "route route-" + std::to_string(i) + " path=/" + name + " service=" + name +
                " # operator\n";
      }
    }
    return text;
  }

  // The highest version that the store or a running daemon still has. Unless the store lost
  // state, this is the highest version ever accepted.
  VersionStamp GetHighestSurviving() {
    if (!this->network.oracle.IsStateLost()) {
      return this->network.oracle.GetHighest();
    }
    VersionStamp best = this->GetStoredStamp();
    for (const std::shared_ptr<Node>& node : this->network.nodes) {
      if (node != nullptr && IsNewer(node->GetRules().GetStamp(), best)) {
        best = node->GetRules().GetStamp();
      }
    }
    return best;
  }
  // Whether the store lost the text between the writes of body and head, and every daemon that
  // had the text has ended since. The design page does not promise that the text survives this.
  bool IsTextLost(const VersionStamp& stamp) {
    const TimePoint now = this->network.events.GetNow();
    const StoredHead stored = DecodeHead(this->network.store.store.Peek(kHeadKey, now));
    const std::string body_key = MakeBodyKey(stamp.digest);
    if (!this->network.oracle.IsStateLost() || !stored.head.has_value() ||
        stored.head->stamp != stamp ||
        this->network.store.store.Peek(body_key, now).revision != 0) {
      return false;
    }
    const bool has_delta = stored.head->delta.has_value();
    return std::none_of(this->network.nodes.begin(), this->network.nodes.end(),
                        [&](const std::shared_ptr<Node>& node) {
                          return node != nullptr &&
                                 (node->GetRules().FindVersion(stamp) != nullptr ||
                                  (has_delta && node->GetRules().FindVersion(
                                                    stored.head->delta->parent) != nullptr));
                        });
  }
  VersionStamp GetStoredStamp() {
    const StoredHead stored =
        DecodeHead(this->network.store.store.Peek(kHeadKey, this->network.events.GetNow()));
    return stored.head.has_value() ? stored.head->stamp : VersionStamp{};
  }
  // Whether all daemons are ready and serve the same version, which is not older than expected.
  bool IsInForce(const VersionStamp& expected) {
    const VersionStamp held = this->network.nodes[0]->GetRules().GetStamp();
    return !IsNewer(expected, held) &&
           std::all_of(this->network.nodes.begin(), this->network.nodes.end(),
                       [&](const std::shared_ptr<Node>& node) {
                         return node->IsReady() && node->GetRules().GetStamp() == held;
                       });
  }
  // Whether the store holds the version of the daemons.
  bool IsStoreAgreed() {
    return this->GetStoredStamp() == this->network.nodes[0]->GetRules().GetStamp();
  }
  // Advances the time until the condition holds. Returns false if that takes longer than limit
  // after started; otherwise raises longest to the time it took.
  template <typename Condition>
  bool WaitUntil(Condition condition, TimePoint started, Duration limit, Duration& longest) {
    while (!condition()) {
      if (this->network.events.GetNow() - started >= limit) {
        return false;
      }
      this->Advance(std::chrono::milliseconds(100));
    }
    longest = std::max(longest, Duration(this->network.events.GetNow() - started));
    return true;
  }
  std::string DescribeHeld(const VersionStamp& expected) {
    std::string text = "expected " + std::to_string(expected.number) + ", store " +
                       std::to_string(this->GetStoredStamp().number) + ", held";
    for (const std::shared_ptr<Node>& node : this->network.nodes) {
      text += " " + std::to_string(node->GetRules().GetStamp().number);
      text += node->IsReady() ? "" : " (not ready)";
    }
    return text;
  }

  void Advance(Duration duration) {
    this->network.events.RunUntil(this->network.events.GetNow() + duration);
  }

  VersionNetwork<Node> network;
  std::vector<SubmitRequest> requests;
  std::uint64_t last_incarnation = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WORLD_H_
