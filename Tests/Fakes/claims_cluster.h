#ifndef LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_CLUSTER_H_
#define LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_CLUSTER_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Claims/claim_gate.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_table.h"
#include "Claims/claim_transfer.h"
#include "Fakes/claims_attempt.h"
#include "Fakes/claims_keys.h"
#include "Fakes/claims_maps.h"
#include "Fakes/claims_network.h"
#include "Fakes/claims_step.h"

namespace lacewingbridge {

// A simulated fleet. Each daemon is both an owner and a caller, and the network loses, repeats
// and reorders messages. The cluster records which attempts ran and compares this with the
// responses that the callers received. Table and Gate are ClaimTable and ClaimGate or
// deliberately broken variants of them.
template <typename Table, typename Gate>
class ClaimsCluster {
 public:
  static constexpr std::size_t kHostCount = 5;
  static constexpr std::size_t kKeyCount = 6;

  // first_owner_count: number of hosts in the first owner map.
  explicit ClaimsCluster(std::size_t first_owner_count) {
    constexpr std::uint64_t kFirstMapAgeMs = 3'600'000;
    ClaimOwnerMap map{1, {}, {}, kTestUnixMs - kFirstMapAgeMs};
    for (std::size_t i = 0; i < kHostCount; ++i) {
      this->hosts.push_back(this->MakeHost(i));
      if (i < first_owner_count) {
        map.hosts.push_back(this->hosts[i].name);
        map.incarnations.push_back(this->hosts[i].incarnation);
      }
    }
    this->maps.SetFirst(std::move(map));
    for (std::size_t i = 0; i < kHostCount; ++i) {
      this->AdoptUpTo(i, 1);
    }
  }

  void RunStep(const ClusterStep& step) {
    const std::size_t host = step.first % kHostCount;
    const int action = step.action % 22;
    if (action < 3) {
      this->SendRequest(host, step.second % kKeyCount);
    } else if (action < 9) {
      this->DeliverOne(step.first, action == 8);
    } else if (action == 9) {
      this->network.Take(step.first, false);
    } else if (action == 10) {
      this->TimeOutOne(step.first);
    } else if (action < 14) {
      this->EndRunOne(step.first, step.second);
    } else if (action == 14) {
      this->Restart(host, step.second);
    } else if (action == ClusterStep::kChangeMap) {
      this->ChangeMap(host);
    } else if (action == 16) {
      this->AdoptUpTo(host, 1 + step.second % this->maps.GetNewestEpoch());
    } else if (action == 17) {
      this->SendPart(host, step.second);
    } else if (action == 18) {
      this->ConfirmAll(host);
    } else if (action == ClusterStep::kAdvance) {
      this->Advance(std::chrono::milliseconds(step.second % 4000));
    } else if (action == ClusterStep::kSendNewTimed) {
      this->SendNewTimed(host, step.second);
    } else {
      this->SendRequest(host, this->keys.ChooseRecent(step.second));
    }
  }

  // Sends the request of the key to the daemon with this index.
  void SendRequest(std::size_t host, std::size_t key) {
    const std::uint64_t id = this->attempts.size() + 1;
    const ClaimFacts facts{false, ClaimKeyRule::kRequired, this->keys.GetName(key), key, {}};
    Attempt attempt{Gate(facts, {this->hosts[host].name, this->hosts[host].incarnation, id}), host,
                    this->hosts[host].incarnation, key};
    this->attempts.push_back(std::move(attempt));
    Attempt& added = this->attempts.back();
    this->ApplyStep(id, added.gate.Begin(this->now, this->hosts[host].view.GetEpoch(),
                                         this->limits.grant_delivery));
  }

  // Sends a request with a new timed key. caller_clock selects the clock error of the caller.
  void SendNewTimed(std::size_t host, std::size_t caller_clock) {
    this->SendRequest(host, this->keys.AddTimed(this->now, caller_clock));
  }

  void RestartAll() {
    for (std::size_t i = 0; i < kHostCount; ++i) {
      this->Restart(i, 0);
    }
  }

  // Delivers all messages without faults and ends every run with a response.
  void DeliverAll() {
    while (!this->network.IsEmpty()) {
      this->DeliverOne(0, false);
      for (std::size_t i = 0; i < this->attempts.size(); ++i) {
        if (this->attempts[i].running) {
          this->EndRun(i + 1, ClaimAttemptOutcome::kAnswered);
        }
      }
    }
  }

  // Whether two runs of one key started within the retention. Runs that ended as not run do
  // not count.
  bool HasDoubleRun() const {
    for (const Attempt& left : this->attempts) {
      for (const Attempt& right : this->attempts) {
        if (&left < &right && left.key == right.key && left.HasRun() && right.HasRun() &&
            std::chrono::abs(*left.started - *right.started) < this->limits.retention) {
          return true;
        }
      }
    }
    return false;
  }

  // Whether an attempt ran although it was refused as not run, ran twice, or received the
  // response of another key or of an attempt that did not run.
  bool HasWrongResponse() const { return this->wrong_response; }

  std::size_t CountKeysRun() const { return this->keys_run.size(); }
  std::size_t CountStoredResponses() const { return this->stored_responses; }
  std::size_t CountRuns() const { return this->runs; }

  // Removes the host from the owner map in the store, or adds it.
  void ChangeMap(std::size_t index) {
    const Host& host = this->hosts[index];
    this->maps.AddOrRemove(host.name, host.incarnation, this->now, this->GetUnixMs(host));
  }

  // Makes the host adopt the map of this epoch, unless it holds a newer one.
  void AdoptUpTo(std::size_t index, std::size_t epoch) {
    Host& host = this->hosts[index];
    const ClaimOwnerView next = this->maps.GetView(epoch);
    if (next.GetEpoch() > host.view.GetEpoch()) {
      host.view = next;
      host.table.AdoptMap(this->now, next);
      host.transfer.AdoptMap(next);
    }
  }

  // Advances the clock. No host holds a map for longer than half of the claim lifetime after it
  // was replaced, because the waits after a restart or a missed epoch rely on that time.
  // kMapSettleTime after its start, a process holds a map at least as new as those that were
  // created before its start.
  void Advance(Duration duration) {
    this->now += duration;
    for (std::size_t i = 0; i < kHostCount; ++i) {
      std::size_t epoch = this->hosts[i].view.GetEpoch();
      while (this->maps.IsReplacedBefore(epoch, this->now - this->limits.GetClaimLifetime() / 2)) {
        this->AdoptUpTo(i, ++epoch);
      }
      if (this->now - this->hosts[i].started >= kMapSettleTime) {
        this->AdoptUpTo(i, this->hosts[i].newest_at_start);
      }
    }
  }

  // Sends the next part of one of the pending handovers of the host.
  void SendPart(std::size_t index, std::size_t choice) {
    Host& host = this->hosts[index];
    const std::vector<std::string> destinations = host.transfer.ListDestinations();
    if (destinations.empty()) {
      return;
    }
    const std::string& to = destinations[choice % destinations.size()];
    const auto part = host.transfer.MakePart(this->now, host.table, to);
    if (part.has_value()) {
      Message message;
      message.kind = Kind::kPart;
      message.to = this->FindHost(to);
      message.part = *part;
      message.from = index;
      message.from_incarnation = host.incarnation;
      this->network.Send(message);
    }
  }

  // Confirms the epochs of all hosts to the table of this host.
  void ConfirmAll(std::size_t index) {
    for (const Host& other : this->hosts) {
      this->hosts[index].table.ConfirmEpoch(this->now, other.name, other.view.GetEpoch());
    }
  }

  bool HasPendingHandover(std::size_t index) const { return !this->hosts[index].transfer.IsDone(); }

 private:
  using Message = ClaimsMessage;
  using Kind = ClaimsMessage::Kind;
  struct Host {
    std::string name;
    std::uint64_t incarnation;
    Table table;
    ClaimTransfer transfer;
    ClaimOwnerView view;
    TimePoint started;
    // Epoch of the newest map when the process started.
    std::size_t newest_at_start;
  };
  using Attempt = ClaimsAttempt<Gate>;
  Host MakeHost(std::size_t index) {
    const std::string name = "host-" + std::to_string(index);
    const std::uint64_t incarnation = ++this->last_incarnation;
    const std::uint64_t unix_ms = GetTestUnixMs(this->now, GetClockOffset(incarnation));
    Host host{name,
              incarnation,
              GetValue(Table::Create(name, incarnation, this->limits, unix_ms)),
              ClaimTransfer(name),
              {},
              this->now,
              std::max<std::size_t>(1, this->maps.GetNewestEpoch())};
    host.table.SetConnected(true);
    return host;
  }

  std::uint64_t GetUnixMs(const Host& host) const {
    return GetTestUnixMs(this->now, GetClockOffset(host.incarnation));
  }

  std::size_t FindHost(std::string_view name) const {
    return static_cast<std::size_t>(name.back() - '0');
  }

  // Replaces the process of the host. Its running attempts are lost.
  void Restart(std::size_t index, std::size_t choice) {
    const std::uint64_t lost = this->hosts[index].incarnation;
    for (Attempt& attempt : this->attempts) {
      attempt.running = attempt.running && attempt.incarnation != lost;
    }
    this->hosts[index] = this->MakeHost(index);
    // A process receives the newest map from the store, or first an older one from a peer.
    const std::size_t newest = this->maps.GetNewestEpoch();
    this->AdoptUpTo(index, newest - choice % std::min<std::size_t>(2, newest));
    for (Host& host : this->hosts) {
      host.table.MarkCallerGone(this->now, this->hosts[index].name, lost);
    }
  }

  // Carries out a step of the gate of the attempt.
  void ApplyStep(std::uint64_t id, const ClaimGateStep& step) {
    Attempt& attempt = this->attempts[id - 1];
    Message message;
    message.attempt = id;
    switch (step.action) {
      case ClaimGateAction::kAskOwner:
        message.claim = *step.ask;
        this->Route(message);
        break;
      case ClaimGateAction::kRefreshMap:
        this->AdoptUpTo(attempt.host, this->maps.GetNewestEpoch());
        this->ApplyStep(
            id, attempt.gate.AskAgain(this->now, this->hosts[attempt.host].view.GetEpoch()));
        break;
      case ClaimGateAction::kRunNow:
        this->wrong_response |= attempt.started.has_value() || attempt.refused_as_not_run;
        attempt.started = this->now;
        attempt.running = true;
        ++this->runs;
        this->keys_run.insert(attempt.key);
        break;
      case ClaimGateAction::kSendStoredResponse:
        this->CheckStored(attempt, *step.stored);
        break;
      case ClaimGateAction::kRefuseNotRun:
      case ClaimGateAction::kRefuseKeyAhead:
        attempt.refused_as_not_run = true;
        this->wrong_response |= attempt.HasRun();
        break;
      default:
        break;
    }
    if (step.report.has_value()) {
      message.kind = Kind::kDone;
      message.done = *step.report;
      this->Route(message);
    }
  }

  // Checks that a stored response belongs to an attempt of the same key that ran.
  void CheckStored(const Attempt& attempt, const ClaimRecord& stored) {
    ++this->stored_responses;
    const std::uint64_t id = std::stoull(stored.answer);
    const Attempt& origin = this->attempts[id - 1];
    this->wrong_response |= origin.key != attempt.key || !origin.HasRun();
  }

  // Sends a message of an attempt to the key's owner in the map that its daemon holds.
  void Route(Message message) {
    const Host& host = this->hosts[this->attempts[message.attempt - 1].host];
    const std::size_t key = this->attempts[message.attempt - 1].key;
    const std::string_view owner = host.view.FindOwner(this->keys.GetName(key));
    if (!owner.empty()) {
      message.to = this->FindHost(owner);
      this->network.Send(message);
    }
  }

  void DeliverOne(std::size_t choice, bool keep) {
    const std::optional<Message> message = this->network.Take(choice, keep);
    if (message.has_value()) {
      this->Deliver(*message);
    }
  }

  void Deliver(Message message) {
    Host& to = this->hosts[message.to];
    switch (message.kind) {
      case Kind::kClaim:
        message.reply = to.table.Claim(this->now, this->GetUnixMs(to), message.claim);
        message.kind = Kind::kReply;
        this->network.Send(message);
        break;
      case Kind::kReply:
        this->DeliverReply(message);
        break;
      case Kind::kDone:
        if (!to.table.Finish(this->now, message.done).recorded && message.tries_left-- > 0) {
          this->Route(message);
        }
        break;
      case Kind::kPart:
        message.part_reply = to.table.AcceptTransfer(this->now, message.part);
        message.kind = Kind::kPartReply;
        this->network.Send(message);
        break;
      case Kind::kPartReply: {
        Host& from = this->hosts[message.from];
        if (from.incarnation == message.from_incarnation) {
          from.transfer.HandleReply(from.table, to.name, message.part, message.part_reply);
        }
        break;
      }
    }
  }

  void DeliverReply(const Message& message) {
    Attempt& attempt = this->attempts[message.attempt - 1];
    if (this->hosts[attempt.host].incarnation == attempt.incarnation && !attempt.running &&
        !attempt.started.has_value() && !attempt.refused_as_not_run) {
      this->ApplyStep(message.attempt, attempt.gate.HandleReply(this->now, message.reply));
    }
  }

  void TimeOutOne(std::size_t choice) {
    if (this->attempts.empty()) {
      return;
    }
    // Only the most recent attempts still wait for a reply.
    const std::size_t back = choice % std::min<std::size_t>(8, this->attempts.size());
    Attempt& attempt = this->attempts[this->attempts.size() - 1 - back];
    if (this->hosts[attempt.host].incarnation == attempt.incarnation && !attempt.started &&
        !attempt.refused_as_not_run) {
      this->ApplyStep(this->attempts.size() - back,
                      attempt.gate.HandleReply(this->now, std::nullopt));
    }
  }

  void EndRunOne(std::size_t choice, std::size_t outcome) {
    std::vector<std::uint64_t> running;
    for (std::size_t i = 0; i < this->attempts.size(); ++i) {
      if (this->attempts[i].running) {
        running.push_back(i + 1);
      }
    }
    if (!running.empty()) {
      constexpr ClaimAttemptOutcome kOutcomes[] = {
          ClaimAttemptOutcome::kAnswered, ClaimAttemptOutcome::kNotRun, ClaimAttemptOutcome::kLost};
      this->EndRun(running[choice % running.size()], kOutcomes[outcome % 3]);
    }
  }

  void EndRun(std::uint64_t id, ClaimAttemptOutcome outcome) {
    Attempt& attempt = this->attempts[id - 1];
    attempt.running = false;
    attempt.reported_not_run = outcome == ClaimAttemptOutcome::kNotRun;
    const std::string response = std::to_string(id);
    this->ApplyStep(id, attempt.gate.HandleResult({outcome, 200, response, "text/plain"}));
  }

  ClaimLimits limits{std::chrono::seconds(20), std::chrono::seconds(5), 100, 1 << 20};
  TimePoint now{};
  std::uint64_t last_incarnation = 0;
  ClaimsMaps maps;
  std::vector<Host> hosts;
  ClaimsKeys keys{kKeyCount};
  std::vector<Attempt> attempts;
  ClaimsNetwork network;
  std::size_t runs = 0;
  std::set<std::size_t> keys_run;
  std::size_t stored_responses = 0;
  bool wrong_response = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_CLAIMS_CLUSTER_H_
