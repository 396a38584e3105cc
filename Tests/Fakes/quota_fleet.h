#ifndef LACEWINGBRIDGE_TESTS_FAKES_QUOTA_FLEET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_QUOTA_FLEET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Membership/host_directory.h"
#include "Observe/metrics_registry.h"
#include "Proxy/quota_gate.h"

namespace lacewingbridge {

// Daemons with real quota gates and host directories, in injected time. The store's leases, the
// messages and the faults are fakes.
class QuotaFleet {
 public:
  struct Request {
    TimePoint sent;
    // When it ran, if it took credit.
    TimePoint ended;
    // kWaiting also if its target refused it.
    CreditOutcome outcome = CreditOutcome::kWaiting;
  };

  QuotaFleet(std::size_t daemon_count, const QuotaBound& quota_bound, std::uint64_t seed)
      : bound(quota_bound), random(seed), daemons(daemon_count) {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      this->Start(i);
    }
  }

  // Every daemon applies the limit up to `spread` later.
  void SetLimit(const std::string& workspace, std::uint32_t rate_per_s, std::uint32_t burst,
                Duration spread = Duration{0}) {
    const std::uint64_t new_version = ++this->version;
    MeshWorkspace& stored = this->workspaces[workspace];
    stored.name = workspace;
    stored.rate_per_s = rate_per_s;
    stored.burst = burst;
    const MeshWorkspace copy = stored;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->Post(i, this->Draw(Duration{0}, spread), [this, i, copy, new_version] {
        this->daemons[i].workspaces[copy.name] = copy;
        this->daemons[i].version = std::max(this->daemons[i].version, new_version);
      });
    }
  }

  void RunUntil(TimePoint until) {
    while (!this->events.empty() && this->events.top().time <= until) {
      Event event = this->events.top();
      this->events.pop();
      this->now = event.time;
      event.action();
    }
    this->now = until;
  }

  void At(TimePoint time, std::function<void()> action) {
    this->events.push({time, ++this->next_number, std::move(action)});
  }

  // A request of the workspace at a daemon. One that its target refuses does not run.
  void Send(std::size_t daemon, const std::string& workspace, bool target_refuses = false) {
    if (!this->IsAlive(daemon) || this->now < this->daemons[daemon].frozen_until) {
      return;
    }
    std::vector<Request>& sent = this->requests[workspace];
    const std::size_t number = sent.size();
    sent.push_back({this->now, this->now, CreditOutcome::kWaiting});
    const auto end = [this, daemon, workspace, number, target_refuses](const CreditTake& take) {
      this->EndRequest(daemon, workspace, number, target_refuses, take);
    };
    Daemon& self = this->daemons[daemon];
    const QuotaGate::Entry entry =
        self.gate->Take(this->now, self.workspaces[workspace], self.version, [&] { return end; });
    if (entry.take.starts_asks) {
      this->RunAsks(daemon, workspace);
    }
    if (entry.take.outcome != CreditOutcome::kWaiting) {
      end(entry.take);
      return;
    }
    this->Post(daemon, kLongestWait, [this, daemon, workspace, end, ticket = entry.ticket] {
      if (this->daemons[daemon].gate->Leave(workspace, ticket)) {
        end({CreditOutcome::kUnknown});
      }
    });
  }

  void Kill(std::size_t daemon) {
    this->daemons[daemon].gate.reset();
    ++this->daemons[daemon].life;
  }
  void Start(std::size_t daemon) {
    Daemon& self = this->daemons[daemon];
    ++self.life;
    self.directory = HostDirectory();
    self.gate =
        std::make_unique<QuotaGate>(GetName(daemon), this->bound, this->random(), this->metrics);
    self.workspaces = this->workspaces;
    self.version = this->version;
    this->Tick(daemon);
    this->ReadEarlierRecord(daemon);
  }
  // The daemon handles nothing until then; messages to it wait.
  void Freeze(std::size_t daemon, Duration duration) {
    this->daemons[daemon].frozen_until = this->now + duration;
  }
  void CutFromStore(std::size_t daemon, Duration duration) {
    this->daemons[daemon].cut_until = this->now + duration;
  }
  // The daemon's watch of the list hangs; its lease is renewed.
  void HangList(std::size_t daemon, Duration duration) {
    this->daemons[daemon].list_hangs_until = this->now + duration;
  }
  // Daemons of different groups do not hear each other.
  void SetGroup(std::size_t daemon, int group) { this->daemons[daemon].group = group; }
  // The daemon that grants the share in the view of the store.
  std::size_t FindGranter(const std::string& workspace, std::uint32_t share) const {
    const GranterList list(this->now, "", this->ListHosts());
    return static_cast<std::size_t>(std::stoi(list.GetHost(list.Find(workspace, share)).substr(1)));
  }

  bool IsAlive(std::size_t daemon) const { return this->daemons[daemon].gate != nullptr; }
  TimePoint GetNow() const { return this->now; }
  std::mt19937_64& GetRandom() { return this->random; }
  std::uint64_t GetMessages() const { return this->messages; }
  const std::vector<Request>& GetRequests(const std::string& workspace) {
    return this->requests[workspace];
  }

  // One way between two daemons or to the store.
  Duration shortest_delay{100};
  Duration longest_delay{8000};
  double loss = 0;

 private:
  static constexpr Duration kTick = std::chrono::milliseconds(200);
  static constexpr Duration kRenewal = std::chrono::milliseconds(1250);
  static constexpr Duration kLeaseTime = std::chrono::seconds(4);
  static constexpr Duration kLongestWait = std::chrono::milliseconds(300);

  struct Daemon {
    std::unique_ptr<QuotaGate> gate;
    HostDirectory directory;
    std::map<std::string, MeshWorkspace> workspaces;
    std::uint64_t version = 0;
    // Changes with each start of the process.
    std::uint64_t life = 0;
    TimePoint frozen_until;
    TimePoint cut_until;
    TimePoint list_hangs_until;
    int group = 0;
  };
  struct Event {
    TimePoint time;
    std::uint64_t number;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return this->time != other.time ? this->time > other.time : this->number > other.number;
    }
  };
  struct Lease {
    TimePoint until;
    std::uint64_t id = 0;
    // What the record under the lease says.
    bool grants = false;
  };

  static std::string GetName(std::size_t daemon) { return "h" + std::to_string(daemon); }

  Duration Draw(Duration shortest, Duration longest) {
    std::uniform_int_distribution<Duration::rep> between(shortest.count(), longest.count());
    return Duration(between(this->random));
  }
  Duration DrawDelay() { return this->Draw(this->shortest_delay, this->longest_delay); }
  bool IsLost() { return std::bernoulli_distribution(this->loss)(this->random); }
  bool IsInTouch(std::size_t daemon) const { return this->now >= this->daemons[daemon].cut_until; }

  // Runs the action in the daemon's process, unless that has ended by then.
  void Post(std::size_t daemon, Duration delay, std::function<void()> action) {
    const std::uint64_t life = this->daemons[daemon].life;
    this->At(this->now + delay, [this, daemon, life, action = std::move(action)] {
      const Daemon& self = this->daemons[daemon];
      if (self.life != life) {
        return;
      }
      if (this->now < self.frozen_until) {
        this->Post(daemon, self.frozen_until - this->now, action);
      } else {
        action();
      }
    });
  }

  std::vector<HostRecord> ListHosts() const {
    std::vector<HostRecord> records;
    for (const auto& [daemon, lease] : this->leases) {
      if (this->now < lease.until) {
        HostRecord record;
        record.host = GetName(daemon);
        record.peer_address = GetName(daemon);
        records.push_back(record);
      }
    }
    return records;
  }

  // The record of its host tells a process that starts whether an earlier one granted. The process
  // lists itself after it has read it.
  void ReadEarlierRecord(std::size_t daemon) {
    if (!this->IsInTouch(daemon)) {
      this->Post(daemon, kTick, [this, daemon] { this->ReadEarlierRecord(daemon); });
      return;
    }
    const auto found = this->leases.find(daemon);
    const bool granted =
        found != this->leases.end() && this->now < found->second.until && found->second.grants;
    this->Post(daemon, this->DrawDelay(), [this, daemon, granted, sent = this->now] {
      if (granted) {
        this->daemons[daemon].gate->RecordEarlierProcess(sent);
      }
      this->Renew(daemon);
    });
  }

  void Tick(std::size_t daemon) {
    Daemon& self = this->daemons[daemon];
    if (this->IsInTouch(daemon) && this->now >= self.list_hangs_until) {
      const std::vector<HostRecord> records = this->ListHosts();
      this->Post(daemon, this->DrawDelay(), [this, daemon, records] {
        this->daemons[daemon].directory.ReplaceAll(this->now, records);
      });
    }
    self.directory.DropRemoved(this->now);
    self.gate->HandleHosts(this->now, self.directory.GetHosts());
    self.gate->DropIdle(this->now);
    this->Post(daemon, kTick, [this, daemon] { this->Tick(daemon); });
  }

  void Renew(std::size_t daemon) {
    if (this->IsInTouch(daemon) && !this->IsLost()) {
      const TimePoint sent = this->now;
      const std::uint64_t life = this->daemons[daemon].life;
      const std::uint64_t known = this->leases[daemon].id;
      const bool settled = this->daemons[daemon].gate->HasSettled(this->now, known);
      this->At(this->now + this->DrawDelay(), [this, daemon, sent, life, known, settled] {
        Lease& lease = this->leases[daemon];
        if (this->now >= lease.until || lease.id >> 32U != life) {
          lease.id = (life << 32U) + ++this->next_number;
        }
        lease.grants = settled && lease.id == known;
        lease.until = this->now + kLeaseTime;
        const std::uint64_t id = lease.id;
        if (!this->IsLost() && this->daemons[daemon].life == life) {
          this->Post(daemon, this->DrawDelay(), [this, daemon, sent, id] {
            this->daemons[daemon].gate->RecordRenewal(sent, this->now, id, kLeaseTime);
          });
        }
      });
    }
    this->Post(daemon, kRenewal, [this, daemon] { this->Renew(daemon); });
  }

  void RunAsks(std::size_t daemon, const std::string& workspace) {
    QuotaGate& gate = *this->daemons[daemon].gate;
    const std::optional<QuotaGate::OutgoingAsk> outgoing = gate.MakeAsk(this->now, workspace);
    if (!outgoing.has_value()) {
      return;
    }
    if (outgoing->peer_address.empty()) {
      const QuotaReply reply = this->Answer(daemon, outgoing->ask);
      gate.HandleReply(this->now, workspace, &reply);
      this->RunAsks(daemon, workspace);
      return;
    }
    this->SendAsk(daemon, workspace, *outgoing);
  }

  QuotaReply Answer(std::size_t daemon, const QuotaAsk& ask) {
    Daemon& self = this->daemons[daemon];
    const auto found = self.workspaces.find(ask.workspace);
    return self.gate->Answer(
        this->now, ask, found == self.workspaces.end() ? nullptr : &found->second, self.version);
  }

  void SendAsk(std::size_t daemon, const std::string& workspace,
               const QuotaGate::OutgoingAsk& outgoing) {
    const auto to = static_cast<std::size_t>(std::stoi(outgoing.peer_address.substr(1)));
    const auto done = std::make_shared<bool>(false);
    const auto end = [this, daemon, workspace, done](const QuotaReply* reply) {
      if (!*done) {
        *done = true;
        this->daemons[daemon].gate->HandleReply(this->now, workspace, reply);
        this->RunAsks(daemon, workspace);
      }
    };
    this->Post(daemon, kAskLimit, [end] { end(nullptr); });
    ++this->messages;
    const bool heard = this->daemons[daemon].group == this->daemons[to].group;
    if (!heard || !this->IsAlive(to) || this->IsLost()) {
      return;
    }
    const std::uint64_t life = this->daemons[daemon].life;
    this->Post(to, this->DrawDelay(), [this, daemon, to, life, ask = outgoing.ask, end] {
      const QuotaReply reply = this->Answer(to, ask);
      if (this->daemons[daemon].life == life && !this->IsLost()) {
        this->Post(daemon, this->DrawDelay(), [reply, end] { end(&reply); });
      }
    });
  }

  void EndRequest(std::size_t daemon, const std::string& workspace, std::size_t number,
                  bool target_refuses, const CreditTake& take) {
    Request& request = this->requests[workspace][number];
    request.outcome = take.outcome;
    request.ended = this->now;
    if (take.outcome != CreditOutcome::kTaken) {
      return;
    }
    if (target_refuses) {
      request.outcome = CreditOutcome::kWaiting;
      this->Post(daemon, 4 * this->DrawDelay(), [this, daemon, workspace, taken_at = this->now] {
        this->daemons[daemon].gate->Return(this->now, taken_at, workspace);
      });
    } else {
      request.ended += this->DrawDelay();
    }
  }

  const QuotaBound bound;
  std::mt19937_64 random;
  MetricsRegistry metrics{1};
  TimePoint now{std::chrono::seconds(100)};
  std::uint64_t next_number = 0;
  std::uint64_t messages = 0;
  std::uint64_t version = 0;
  std::priority_queue<Event> events;
  std::vector<Daemon> daemons;
  std::map<std::size_t, Lease> leases;
  std::map<std::string, MeshWorkspace> workspaces;
  std::map<std::string, std::vector<Request>> requests;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_QUOTA_FLEET_H_
