#ifndef LACEWINGBRIDGE_TESTS_FAKES_PROOF_FLEET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_PROOF_FLEET_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "Workspaces/proof_readers.h"
#include "Workspaces/proof_schedule.h"
#include "Workspaces/restore_hold.h"
#include "Workspaces/table_proof.h"

namespace lacewingbridge {

// How the daemons of a fleet age their proofs. Only the defaults are right.
struct ProofAging {
  // The clock goes on while a process is suspended.
  bool runs_while_suspended = true;
  // Proofs count from the sending of the call, not from the arrival of the answer.
  bool counts_from_sending = true;
  // A store that was restored proves nothing for a while.
  bool holds_after_restore = true;
};

// Daemons that read versions of the configuration and pass their proofs on, with random delays. A
// caller's key is removed by each version, so a daemon may serve keys only until the bound after
// the acknowledgement of the version that follows the one it has.
class ProofFleet {
 public:
  static constexpr Duration kBound = std::chrono::seconds(5);
  static constexpr Duration kStep = std::chrono::milliseconds(20);

  ProofFleet(std::size_t count, ProofAging proof_aging, std::uint64_t seed)
      : aging(proof_aging), daemons(count), random(seed) {
    for (Daemon& daemon : this->daemons) {
      daemon.proof.SetBound(kBound);
    }
  }

  // Writes a version, which is acknowledged at once.
  void WriteVersion() {
    this->acknowledged_at.push_back(this->now);
    this->rewritten_at = this->now;
  }
  // Restores the store from a copy without the newest version, which the operators write again
  // after the time.
  void Restore(Duration rewritten_after) {
    ++this->era;
    this->rewritten_at = this->now + rewritten_after;
  }
  // Delays of most messages, and of one in fifty.
  void SetDelays(Duration usual, Duration rare) {
    this->usual_delay = usual;
    this->rare_delay = rare;
  }
  void Suspend(std::size_t daemon, Duration time) {
    this->daemons[daemon].suspended_until = this->now + time;
  }
  // Cuts the daemon off from the store, and from the other daemons if `from_peers`.
  void Cut(std::size_t daemon, Duration time, bool from_peers) {
    this->daemons[daemon].cut_until = this->now + time;
    this->daemons[daemon].isolated_until = from_peers ? this->now + time : this->now;
  }
  void Kill(std::size_t index) {
    Daemon& daemon = this->daemons[index];
    ++this->restarts;
    daemon = Daemon();
    daemon.process = this->restarts;
    daemon.proof.SetBound(kBound);
  }

  void Step() {
    this->now += kStep;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      Daemon& daemon = this->daemons[i];
      if (this->now < daemon.suspended_until) {
        daemon.suspended += kStep;
        continue;
      }
      this->Deliver(daemon);
      this->AskStore(i);
      this->AskPeer(i);
    }
  }

  std::size_t GetSize() const { return this->daemons.size(); }
  std::uint64_t GetStoreCalls() const { return this->store_calls; }
  // Whether the daemon serves a key to a request that is sent now.
  bool ServesKey(std::size_t index) const {
    const Daemon& daemon = this->daemons[index];
    return daemon.version > 0 && this->now >= daemon.suspended_until &&
           daemon.proof.MayServeKeys(this->GetLocalTime(daemon));
  }
  // Whether the key that the daemon knows was removed longer ago than the bound.
  bool IsKeyGone(std::size_t index) const {
    const std::uint64_t version = this->daemons[index].version;
    return version < this->acknowledged_at.size() &&
           this->now > this->acknowledged_at[version] + kBound;
  }

 private:
  struct Answer {
    TimePoint arrives;
    // By the clock of the daemon that gets it.
    TimePoint sent;
    std::uint64_t version = 0;
    // Age of the proof of another daemon; empty without one.
    std::optional<Duration> age;
    // 0: from another daemon.
    std::uint64_t era = 0;
  };
  struct Daemon {
    std::uint64_t process = 0;
    std::uint64_t version = 0;
    TableProof proof;
    ProofSchedule schedule{kBound};
    TimePoint suspended_until;
    Duration suspended{0};
    TimePoint cut_until;
    TimePoint isolated_until;
    TimePoint next_peer;
    std::vector<Answer> answers;
    std::uint64_t era = 0;
    RestoreHold restore;
  };

  TimePoint GetLocalTime(const Daemon& daemon) const {
    return this->aging.runs_while_suspended ? this->now : this->now - daemon.suspended;
  }

  Duration DrawDelay() {
    const bool rare = std::uniform_int_distribution<int>(0, 49)(this->random) == 0;
    std::uniform_int_distribution<Duration::rep> pick(
        0, (rare ? this->rare_delay : this->usual_delay).count());
    return Duration(pick(this->random));
  }

  void Deliver(Daemon& daemon) {
    const auto due =
        std::partition(daemon.answers.begin(), daemon.answers.end(),
                       [&](const Answer& answer) { return answer.arrives > this->now; });
    for (auto answer = due; answer != daemon.answers.end(); ++answer) {
      if (answer->era > daemon.era) {
        daemon.era = answer->era;
        daemon.restore.BeginEra(this->GetLocalTime(daemon));
      }
      if (answer->era > 0 && answer->era < daemon.era) {
        continue;
      }
      daemon.version = std::max(daemon.version, answer->version);
      const TimePoint from =
          this->aging.counts_from_sending ? answer->sent : this->GetLocalTime(daemon);
      const bool proves =
          !this->aging.holds_after_restore || daemon.restore.IsOver(answer->sent, kBound);
      if (answer->era > 0 && proves) {
        daemon.proof.RecordNewest(from, answer->version, daemon.version);
      } else if (answer->era == 0 && answer->age.has_value()) {
        daemon.proof.RecordPeerProof(from, *answer->age, answer->version, daemon.version);
      }
    }
    daemon.answers.erase(due, daemon.answers.end());
  }

  void AskStore(std::size_t index) {
    Daemon& daemon = this->daemons[index];
    const TimePoint local = this->GetLocalTime(daemon);
    if (daemon.schedule.NeedsDraw()) {
      daemon.schedule.Draw(index < CountProofReaders(this->daemons.size()), this->random);
    }
    if (!daemon.schedule.IsDue(local, daemon.proof.GetProvenAt(), false)) {
      return;
    }
    daemon.schedule.RecordAsked(local);
    ++this->store_calls;
    if (this->now < daemon.cut_until) {
      return;
    }
    // The store reads when the call is sent; all of the delay is that of the answer. That is the
    // worst case, because the answer is then as old as it can be.
    const std::uint64_t newest = this->acknowledged_at.size();
    const std::uint64_t stored = this->now < this->rewritten_at ? newest - 1 : newest;
    daemon.answers.push_back(
        {this->now + this->DrawDelay(), local, stored, std::nullopt, this->era});
  }

  void AskPeer(std::size_t index) {
    Daemon& daemon = this->daemons[index];
    if (this->now < daemon.next_peer) {
      return;
    }
    daemon.next_peer = this->now + ProofSchedule::GetPeerInterval(kBound);
    const bool ask_reader = ProofSchedule::ShouldAskReader(this->GetLocalTime(daemon),
                                                           daemon.proof.GetProvenAt(), kBound);
    const std::size_t candidates =
        ask_reader ? std::min(CountProofReaders(this->daemons.size()), this->daemons.size())
                   : this->daemons.size();
    const std::size_t peer_index =
        std::uniform_int_distribution<std::size_t>(0, candidates - 1)(this->random);
    const Daemon& peer = this->daemons[peer_index];
    if (peer_index == index || this->now < daemon.isolated_until ||
        this->now < peer.isolated_until || this->now < peer.suspended_until) {
      return;
    }
    daemon.answers.push_back({this->now + this->DrawDelay(), this->GetLocalTime(daemon),
                              peer.version, peer.proof.GetAge(this->GetLocalTime(peer)), 0});
  }

  const ProofAging aging;
  TimePoint now{std::chrono::seconds(100)};
  // When each version was acknowledged; the first one is version 1.
  std::vector<TimePoint> acknowledged_at;
  std::vector<Daemon> daemons;
  std::mt19937_64 random;
  Duration usual_delay = std::chrono::milliseconds(20);
  Duration rare_delay = std::chrono::milliseconds(20);
  std::uint64_t era = 1;
  TimePoint rewritten_at;
  std::uint64_t store_calls = 0;
  std::uint64_t restarts = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_PROOF_FLEET_H_
