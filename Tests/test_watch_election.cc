// Guards against two daemons that act as the watcher of a scope at the same time, a scope without a
// watcher, and more store calls than the budget allows.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Core/hash.h"
#include "Fakes/fake_store.h"
#include "Watch/watch_election.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint kStart{};

// Runs the elections of all daemons of one scope against the fake store. Calls reach the store and
// responses reach the daemons after random delays. Paused daemons handle responses late.
class ScopeSimulation {
 public:
  ScopeSimulation(int host_count, std::uint64_t seed) : random(seed) {
    for (int i = 0; i < host_count; ++i) {
      this->hosts.push_back("host-" + std::to_string(i));
    }
    this->daemons.resize(this->hosts.size());
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->Restart(i);
    }
  }

  // Starts a new process without state. The other daemons do not learn of the restart before the
  // next SetMembers.
  void Restart(std::size_t index) {
    WatchElectionSettings settings;
    settings.scope = "scope";
    settings.host = this->hosts[index];
    const std::uint64_t incarnation = this->daemons[index].incarnation + 1;
    this->daemons[index] = {};
    this->daemons[index].incarnation = incarnation;
    this->daemons[index].election =
        std::make_unique<WatchElection>(settings, this->now, this->random);
  }

  void SetMembers(std::size_t index, const std::vector<std::string>& live) {
    std::vector<WatchMember> members;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (std::find(live.begin(), live.end(), this->hosts[i]) != live.end()) {
        members.push_back({this->hosts[i], this->daemons[i].incarnation});
      }
    }
    this->Handle(this->daemons[index], WatchMembersChanged{members});
  }
  void SetAllMembers(const std::vector<std::string>& live) {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->SetMembers(i, live);
    }
  }
  void Pause(std::size_t index, Duration duration) {
    this->daemons[index].paused_until = this->now + duration;
  }
  void SuspectHolder() {
    for (Daemon& daemon : this->daemons) {
      this->Handle(daemon, WatchHolderSuspected{});
    }
  }
  // Makes all further calls of this daemon fail.
  void DisconnectFromStore(std::size_t index) { this->daemons[index].disconnected = true; }
  void LoseNextResponse(std::size_t index) { this->daemons[index].lose_response = true; }

  // Advances the time in steps of 100 ms and updates most_acting, the largest number of daemons
  // that acted as the watcher at one time.
  void Run(Duration duration) {
    const TimePoint end = this->now + duration;
    while (this->now < end) {
      this->now += milliseconds(100);
      this->PerformLateCalls();
      for (Daemon& daemon : this->daemons) {
        this->Advance(daemon);
      }
      this->most_acting = std::max(this->most_acting, this->CountActing());
    }
  }

  // Paused daemons count, too: when they resume, they act if IsActing returns true.
  int CountActing() const {
    return static_cast<int>(
        std::count_if(this->daemons.begin(), this->daemons.end(),
                      [&](const Daemon& daemon) { return daemon.election->IsActing(this->now); }));
  }
  int FindActing() const {
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      if (this->daemons[i].election->IsActing(this->now)) {
        return static_cast<int>(i);
      }
    }
    return -1;
  }
  std::uint64_t CountCalls() const {
    const StoreCallCounts& counts = this->store.GetCounts();
    return counts.gets + counts.swaps + counts.leases + counts.watches;
  }

  FakeStore store;
  std::vector<std::string> hosts;
  int most_acting = 0;
  TimePoint now = kStart;

 private:
  struct Daemon {
    std::unique_ptr<WatchElection> election;
    std::uint64_t incarnation = 0;
    WatchDecision decision;
    // The outstanding call, when it reaches the store and when its response arrives.
    WatchCall call;
    bool calling = false;
    bool performed = false;
    TimePoint reaches_at;
    TimePoint responds_at;
    TimePoint times_out_at;
    WatchEvent response;
    bool lose_response = false;
    bool disconnected = false;
    TimePoint paused_until;
    TimePoint watch_ends_at;
  };

  void Handle(Daemon& daemon, const WatchEvent& event) {
    const bool idle = !daemon.calling;
    daemon.decision = daemon.election->Handle(event, this->now, this->random);
    if (std::holds_alternative<WatchNoCall>(daemon.decision.call)) {
      return;
    }
    cr_assert(idle, "two calls outstanding");
    daemon.call = daemon.decision.call;
    daemon.calling = true;
    daemon.performed = false;
    daemon.times_out_at = this->now + seconds(2);
    daemon.reaches_at = this->now + this->store.GetDelay() + milliseconds(this->random() % 1000);
    daemon.responds_at = daemon.reaches_at + milliseconds(this->random() % 1000);
  }

  // Performs the calls that reach the store after their daemon has timed out.
  void PerformLateCalls() {
    std::erase_if(this->late_calls, [&](const auto& late) {
      if (this->now < late.first) {
        return false;
      }
      this->Perform(late.second);
      return true;
    });
  }

  void Advance(Daemon& daemon) {
    if (daemon.calling && !daemon.performed && this->now >= daemon.reaches_at) {
      daemon.performed = true;
      daemon.response = daemon.disconnected ? WatchCallFailed{} : this->Perform(daemon.call);
      if (std::exchange(daemon.lose_response, false)) {
        daemon.response = WatchCallFailed{};
      }
    }
    if (this->now < daemon.paused_until) {
      return;
    }
    if (daemon.calling && daemon.performed && this->now >= daemon.responds_at) {
      daemon.calling = false;
      this->Handle(daemon, daemon.response);
    }
    if (daemon.calling && this->now >= daemon.times_out_at) {
      daemon.calling = false;
      if (!daemon.performed && !daemon.disconnected) {
        this->late_calls.emplace_back(daemon.reaches_at, daemon.call);
      }
      this->Handle(daemon, WatchCallFailed{});
    }
    if (!daemon.calling && this->now >= daemon.decision.wake_at) {
      this->Handle(daemon, WatchTimePassed{});
    }
    if (daemon.election->IsActing(this->now) && this->now >= daemon.watch_ends_at) {
      this->store.Watch({"head", 0, 30000}, this->now);
      daemon.watch_ends_at = this->now + seconds(30);
    }
  }

  static std::optional<WatchHolder> DecodeHolder(const StoreEntry& entry) {
    if (entry.revision == 0) {
      return std::nullopt;
    }
    const std::size_t space = entry.value.find(' ');
    return WatchHolder{entry.value.substr(0, space), std::stoull(entry.value.substr(space))};
  }

  WatchEvent Perform(const WatchCall& call) {
    if (std::holds_alternative<WatchReadKey>(call)) {
      const auto reply = this->store.Get({"watch/scope"}, this->now);
      return reply ? WatchEvent(WatchKeyRead{DecodeHolder(reply->entry), reply->entry.revision})
                   : WatchCallFailed{};
    }
    if (const auto* swap = std::get_if<WatchSwapKey>(&call)) {
      const std::string value = swap->holder.host + " " + std::to_string(swap->holder.lease_id);
      const auto reply = this->store.Swap(
          {"watch/scope", value, swap->expected_revision, swap->holder.lease_id}, this->now);
      return reply ? WatchEvent(WatchKeySwapped{reply->succeeded, DecodeHolder(reply->entry)})
                   : WatchCallFailed{};
    }
    const auto* renewal = std::get_if<WatchRenewLease>(&call);
    const Duration duration =
        renewal ? renewal->duration : std::get<WatchGrantLease>(call).duration;
    const auto reply = this->store.Lease(
        {renewal ? renewal->lease_id : 0, static_cast<std::uint32_t>(CountMilliseconds(duration))},
        this->now);
    return reply ? WatchEvent(WatchLeaseReplied{reply->granted, reply->lease_id})
                 : WatchCallFailed{};
  }

  std::mt19937_64 random;
  std::vector<Daemon> daemons;
  std::vector<std::pair<TimePoint, WatchCall>> late_calls;
};

Test(watch_election, never_has_two_holders_under_pauses_and_lost_responses) {
  cr_assert(rc::check([] {
    ScopeSimulation scope(5, *rc::gen::arbitrary<std::uint64_t>());
    scope.SetAllMembers(scope.hosts);
    const auto faults = *rc::gen::resize(
        rc::kNominalSize, rc::gen::container<std::vector<std::pair<int, int>>>(
                              40, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 5))));
    for (const auto& [kind, which] : faults) {
      const auto index = static_cast<std::size_t>(which);
      const int acting = scope.FindActing();
      if (kind == 0) {
        scope.Pause(index, seconds(15));
      } else if (kind == 1 && acting >= 0) {
        scope.Pause(static_cast<std::size_t>(acting), seconds(5 + 3 * which));
      } else if (kind == 2) {
        scope.LoseNextResponse(index);
      } else if (kind == 3) {
        scope.store.SetDown(which < 3);
      } else if (kind == 4) {
        std::vector<std::string> live = scope.hosts;
        live.erase(live.begin() + which);
        scope.SetAllMembers(live);
      } else if (kind == 8) {
        scope.store.SetDelay(seconds(which));
      } else if (kind == 7) {
        scope.Restart(index);
        scope.SetAllMembers(scope.hosts);
      } else if (kind == 6) {
        scope.SuspectHolder();
      } else if (kind == 5) {
        scope.SetMembers(index, {});
      }
      scope.Run(seconds(2));
    }
    RC_ASSERT(scope.most_acting <= 1);
    scope.store.SetDown(false);
    scope.store.SetDelay(seconds(0));
    scope.SetAllMembers(scope.hosts);
    scope.Run(seconds(150));
    RC_ASSERT(scope.CountActing() == 1);
    RC_ASSERT(scope.most_acting <= 1);
  }));
}

Test(watch_election, holder_stops_by_its_own_clock_when_renewals_are_lost) {
  ScopeSimulation scope(1, 5);
  scope.SetAllMembers(scope.hosts);
  scope.Run(seconds(10));
  cr_assert_eq(scope.CountActing(), 1);
  scope.store.SetDown(true);
  scope.Run(seconds(9));
  cr_assert_eq(scope.CountActing(), 0, "acts although its lease may have expired");
}

Test(watch_election, successor_takes_over_when_the_holder_dies) {
  ScopeSimulation scope(5, 11);
  scope.SetAllMembers(scope.hosts);
  scope.Run(seconds(20));
  const int holder = scope.FindActing();
  cr_assert_geq(holder, 0);
  scope.Pause(static_cast<std::size_t>(holder), std::chrono::hours(1));
  scope.Run(seconds(6));
  std::vector<std::string> live = scope.hosts;
  live.erase(live.begin() + holder);
  scope.SetAllMembers(live);
  // Covers the rest of the lease of 9 s, one retry period of 3 s, and the calls.
  scope.Run(seconds(15));
  cr_assert_eq(scope.CountActing(), 1);
  cr_assert_neq(scope.FindActing(), holder);
}

// A holder that was elected while it knew few members may have a rank that is no candidate. If it
// loses the lease unnoticed, it must try again, because the others still consider its host the live
// holder.
Test(watch_election, holder_of_a_high_rank_that_loses_its_lease_unnoticed_is_replaced) {
  for (const bool restarts : {true, false}) {
    ScopeSimulation scope(30, 6);
    const std::vector<std::size_t> ranking = RankByHash("scope", scope.hosts);
    scope.SetMembers(ranking[20], {});
    scope.Run(seconds(5));
    scope.SetAllMembers(scope.hosts);
    scope.Run(seconds(20));
    cr_assert_eq(scope.FindActing(), static_cast<int>(ranking[20]));
    if (restarts) {
      scope.Restart(ranking[20]);
      scope.SetAllMembers(scope.hosts);
    } else {
      scope.Pause(ranking[20], seconds(12));
    }
    scope.Run(seconds(40));
    cr_assert_eq(scope.CountActing(), 1);
    cr_assert_leq(scope.most_acting, 1);
  }
}

Test(watch_election, suspected_holder_that_cannot_reach_the_store_is_replaced) {
  ScopeSimulation scope(225, 12);
  scope.SetAllMembers(scope.hosts);
  scope.Run(seconds(20));
  const int holder = scope.FindActing();
  scope.DisconnectFromStore(static_cast<std::size_t>(holder));
  const std::uint64_t calls = scope.CountCalls();
  for (int i = 0; i < 70; ++i) {
    scope.SuspectHolder();
    scope.Run(seconds(1));
  }
  cr_assert_eq(scope.CountActing(), 1);
  cr_assert_neq(scope.FindActing(), holder);
  // A read, a grant and a swap by the successor, and its calls as the holder.
  cr_assert_leq(scope.CountCalls() - calls, 3 + 25);
}

// The budget of section 4.2 is one watch every 30 s and one lease renewal every 3 s.
Test(watch_election, calls_stay_within_the_budget_when_225_daemons_restart_together) {
  ScopeSimulation scope(225, 3);
  scope.SetAllMembers(scope.hosts);
  scope.Run(seconds(60));
  cr_assert_eq(scope.CountActing(), 1);
  const std::uint64_t restart_calls = scope.CountCalls();
  // At most a read, a grant and a swap by each of 8 candidates, and 22 calls of the holder.
  cr_assert_leq(restart_calls, 8 * 3 + 22);
  scope.Run(seconds(600));
  const std::uint64_t rest_calls = scope.CountCalls() - restart_calls;
  cr_log_info("calls in 60 s after the restart: %d; in the next 600 s: %d",
              static_cast<int>(restart_calls), static_cast<int>(rest_calls));
  cr_assert_leq(rest_calls, 600 / 3 + 600 / 30);
}

// Right after a restart each daemon knows only some members, so several have the same rank.
Test(watch_election, calls_stay_bounded_when_restarted_daemons_know_few_members) {
  ScopeSimulation scope(225, 4);
  for (std::size_t i = 0; i < scope.hosts.size(); ++i) {
    scope.SetMembers(i, {scope.hosts[i], scope.hosts[(i + 1) % 225], scope.hosts[(i + 7) % 225]});
  }
  scope.Run(seconds(2));
  scope.SetAllMembers(scope.hosts);
  scope.Run(seconds(58));
  cr_assert_eq(scope.CountActing(), 1);
  cr_assert_leq(scope.most_acting, 1);
  const StoreCallCounts& counts = scope.store.GetCounts();
  cr_log_info("gets %d, swaps %d, leases %d", static_cast<int>(counts.gets),
              static_cast<int>(counts.swaps), static_cast<int>(counts.leases));
  // At most one attempt by each daemon, and the calls of the holder.
  cr_assert_leq(scope.CountCalls(), 225 * 3 + 22);
}
