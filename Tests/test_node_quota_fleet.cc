// Guards against a workspace that runs more than its quota over the whole fleet, whatever fails,
// and against requests below the quota that are refused. The quota gates are real, on a fake
// network and store in injected time.

#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

#include "Fakes/quota_fleet.h"
#include "Observe/event_log.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;
using Request = QuotaFleet::Request;

namespace {

// The bound of a deployment whose callers are spread over 80 daemons.
const QuotaBound kBound{seconds(5), 0.1, 20};

double ToSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

double GetAllowed(const QuotaBound& bound, double rate, double burst) {
  return (rate * ToSeconds(bound.window) + burst) * (1 + bound.overage) + bound.slack;
}

// Most requests that were both sent and run within one window.
std::size_t CountMost(const std::vector<Request>& requests, Duration window) {
  std::size_t most = 0;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    const TimePoint end = requests[i].sent + window;
    std::size_t count = 0;
    for (std::size_t j = i; j < requests.size() && requests[j].sent <= end; ++j) {
      count += requests[j].outcome == CreditOutcome::kTaken && requests[j].ended <= end ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

std::size_t CountOutcome(const std::vector<Request>& requests, CreditOutcome outcome,
                         TimePoint from, TimePoint until) {
  return static_cast<std::size_t>(
      std::count_if(requests.begin(), requests.end(), [&](const Request& request) {
        return request.outcome == outcome && request.sent >= from && request.sent < until;
      }));
}

// Sends requests of a workspace at random daemons, at random times with this mean rate.
void Demand(QuotaFleet& fleet, const std::string& workspace, double rate, TimePoint until,
            const std::vector<std::size_t>& daemons, double refused_share = 0) {
  std::exponential_distribution<double> pause(rate);
  const auto wait =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(fleet.GetRandom())));
  const TimePoint next = fleet.GetNow() + wait;
  if (next >= until) {
    return;
  }
  fleet.At(next, [&fleet, workspace, rate, until, daemons, refused_share] {
    const bool refused = std::bernoulli_distribution(refused_share)(fleet.GetRandom());
    fleet.Send(daemons[fleet.GetRandom()() % daemons.size()], workspace, refused);
    Demand(fleet, workspace, rate, until, daemons, refused_share);
  });
}

std::vector<std::size_t> ListAll(std::size_t count) {
  std::vector<std::size_t> daemons(count);
  for (std::size_t i = 0; i < count; ++i) {
    daemons[i] = i;
  }
  return daemons;
}

// 80 daemons and 83 workspaces of very different size, which use 0.62 of their quotas.
class Deployment {
 public:
  static constexpr std::size_t kDaemons = 80;
  static constexpr std::size_t kWorkspaces = 83;

  explicit Deployment(std::uint64_t seed) : fleet(kDaemons, kBound, seed) {
    EventLog::Configure("", "error");
    double sum = 0;
    for (std::size_t i = 1; i <= kWorkspaces; ++i) {
      sum += std::pow(i, -1.2);
    }
    for (std::size_t i = 1; i <= kWorkspaces; ++i) {
      this->demand.push_back(1800 * std::pow(i, -1.2) / sum);
      const auto rate = static_cast<std::uint32_t>(std::ceil(this->demand.back() / 0.62));
      this->rates.push_back(rate);
      this->fleet.SetLimit(GetName(i - 1), rate, rate);
    }
    this->fleet.RunUntil(this->begin);
  }

  static std::string GetName(std::size_t workspace) { return "w" + std::to_string(workspace); }

  // Small workspaces have their callers at all daemons, or only at three.
  void Begin(TimePoint until, bool spread) {
    const std::vector<std::size_t> all = ListAll(kDaemons);
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const std::vector<std::size_t> few{i % kDaemons, (i + 17) % kDaemons, (i + 31) % kDaemons};
      const bool at_all = spread || this->demand[i] > 20;
      Demand(this->fleet, GetName(i), this->demand[i], until, at_all ? all : few);
    }
  }

  // Share of the requests of all workspaces that found no credit.
  double GetRefusedShare(TimePoint from, TimePoint until) {
    double refused = 0;
    double all = 0;
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const std::vector<Request>& requests = this->fleet.GetRequests(GetName(i));
      const double taken = CountOutcome(requests, CreditOutcome::kTaken, from, until);
      const double beyond = CountOutcome(requests, CreditOutcome::kBeyondQuota, from, until);
      const double unknown = CountOutcome(requests, CreditOutcome::kUnknown, from, until);
      refused += beyond + unknown;
      all += taken + beyond + unknown;
    }
    return refused / all;
  }

  void CheckBounds() {
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      const std::size_t most = CountMost(this->fleet.GetRequests(GetName(i)), kBound.window);
      cr_assert_leq(most, GetAllowed(kBound, this->rates[i], this->rates[i]), "w%zu: %zu", i, most);
    }
  }

  const TimePoint begin{seconds(110)};
  QuotaFleet fleet;
  std::vector<double> demand;
  std::vector<std::uint32_t> rates;
};

}  // namespace

Test(quota_fleet, demand_below_the_quotas_is_served) {
  for (const bool spread : {false, true}) {
    Deployment deployment(1);
    const TimePoint end = deployment.begin + seconds(25);
    deployment.Begin(end, spread);
    deployment.fleet.RunUntil(end + seconds(1));
    const double refused = deployment.GetRefusedShare(deployment.begin, end);
    cr_log_info("spread %d: refused %.5f, %.0f asks/s", spread, refused,
                static_cast<double>(deployment.fleet.GetMessages()) / 25);
    cr_assert_lt(refused, 0.001);
    deployment.CheckBounds();
  }
}

// The death of a granting daemon of the largest workspace, which is not noticed for seconds.
Test(quota_fleet, the_death_of_a_granting_daemon_refuses_little) {
  Deployment deployment(2);
  const TimePoint end = deployment.begin + seconds(25);
  const TimePoint death = deployment.begin + seconds(6);
  deployment.Begin(end, true);
  deployment.fleet.RunUntil(death);
  const std::size_t granter = deployment.fleet.FindGranter(Deployment::GetName(0), 0);
  deployment.fleet.Kill(granter);
  deployment.fleet.RunUntil(end + seconds(1));
  const TimePoint until = death + seconds(10);
  const double refused = deployment.GetRefusedShare(death, until);
  const std::vector<Request>& largest = deployment.fleet.GetRequests(Deployment::GetName(0));
  const double taken = CountOutcome(largest, CreditOutcome::kTaken, death, until);
  const double largest_refused = CountOutcome(largest, CreditOutcome::kBeyondQuota, death, until) +
                                 CountOutcome(largest, CreditOutcome::kUnknown, death, until);
  const double share = largest_refused / (taken + largest_refused);
  cr_log_info("refused %.5f, of the largest workspace %.5f", refused, share);
  cr_assert_lt(refused, 0.02);
  cr_assert_lt(share, 0.02);
  deployment.CheckBounds();
}

Test(quota_fleet, a_hot_workspace_gets_its_quota_and_no_more) {
  for (const std::size_t hot : {std::size_t{0}, std::size_t{40}}) {
    Deployment deployment(3);
    const TimePoint end = deployment.begin + seconds(25);
    deployment.Begin(end, true);
    deployment.fleet.RunUntil(deployment.begin + seconds(5));
    Demand(deployment.fleet, Deployment::GetName(hot), 5 * deployment.demand[hot], end,
           ListAll(Deployment::kDaemons));
    const TimePoint from = deployment.begin + seconds(7);
    deployment.fleet.RunUntil(end + seconds(1));
    const std::vector<Request>& requests = deployment.fleet.GetRequests(Deployment::GetName(hot));
    const double taken = CountOutcome(requests, CreditOutcome::kTaken, from, end);
    const double owed = deployment.rates[hot] * ToSeconds(end - from);
    cr_log_info("workspace %zu: %.3f of its quota, %.0f asks/s in all", hot, taken / owed,
                static_cast<double>(deployment.fleet.GetMessages()) / 25);
    cr_assert_geq(taken, 0.9 * owed);
    deployment.CheckBounds();
  }
}

// Usual demand fills the bucket and what the daemons hold; a burst spends both, at once or after a
// pause in which the held credit ends.
Test(quota_fleet, credit_that_is_held_before_a_burst_counts) {
  EventLog::Configure("", "error");
  const QuotaBound bound{seconds(5), 0.1, 0};
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    for (const seconds pause : {seconds(0), seconds(3)}) {
      QuotaFleet fleet(4, bound, seed);
      fleet.SetLimit("w", 150, 300);
      fleet.RunUntil(fleet.GetNow() + seconds(8));
      const TimePoint burst = fleet.GetNow() + seconds(10);
      Demand(fleet, "w", 135, burst - pause, ListAll(4));
      fleet.RunUntil(burst);
      Demand(fleet, "w", 900, burst + seconds(6), ListAll(4));
      fleet.RunUntil(burst + seconds(7));
      const std::size_t most = CountMost(fleet.GetRequests("w"), bound.window);
      cr_assert_leq(most, GetAllowed(bound, 150, 300), "seed %d: %zu", static_cast<int>(seed),
                    most);
      cr_assert_geq(most, 0.9 * (750 + 300));
    }
  }
}

// The loss of a daemon changes the list of hosts; the shares of the others stay full.
Test(quota_fleet, idle_workspaces_keep_their_credit_when_the_list_of_hosts_changes) {
  constexpr int kWorkspaces = 60;
  EventLog::Configure("", "error");
  QuotaFleet fleet(8, {seconds(5), 0.1, 0}, 1);
  for (int i = 0; i < kWorkspaces; ++i) {
    fleet.SetLimit("w" + std::to_string(i), 1, 1);
  }
  fleet.RunUntil(fleet.GetNow() + seconds(20));
  std::vector<std::string> kept;
  for (int i = 0; i < kWorkspaces; ++i) {
    const std::string workspace = "w" + std::to_string(i);
    if (fleet.FindGranter(workspace, 0) != 0) {
      kept.push_back(workspace);
    }
  }
  cr_assert_gt(kept.size(), kWorkspaces / 2);
  fleet.Kill(0);
  const TimePoint from = fleet.GetNow() + seconds(3);
  for (std::size_t i = 0; i < kept.size(); ++i) {
    fleet.RunUntil(from + milliseconds(100 * i));
    fleet.Send(1, kept[i]);
  }
  fleet.RunUntil(fleet.GetNow() + seconds(1));
  for (const std::string& workspace : kept) {
    const CreditOutcome outcome = fleet.GetRequests(workspace).back().outcome;
    cr_assert(outcome == CreditOutcome::kTaken, "%s", workspace.c_str());
  }
}

// A daemon whose lease had lapsed is listed again and restarts at once, while another one still
// grants its share because its list is late.
Test(quota_fleet, a_restart_during_the_wait_does_not_end_the_wait) {
  EventLog::Configure("", "error");
  const QuotaBound bound{seconds(5), 0.1, 0};
  QuotaFleet fleet(2, bound, 1);
  fleet.SetLimit("w", 40, 40);
  const TimePoint cut = fleet.GetNow() + seconds(10);
  fleet.RunUntil(cut);
  const std::size_t granter = fleet.FindGranter("w", 0);
  fleet.CutFromStore(granter, seconds(12));
  Demand(fleet, "w", 240, cut + seconds(25), ListAll(2));
  fleet.RunUntil(cut + milliseconds(11900));
  fleet.HangList(1 - granter, seconds(4));
  fleet.RunUntil(cut + milliseconds(13800));
  fleet.Kill(granter);
  fleet.RunUntil(cut + milliseconds(13900));
  fleet.Start(granter);
  fleet.RunUntil(cut + seconds(26));
  const std::size_t most = CountMost(fleet.GetRequests("w"), bound.window);
  cr_assert_leq(most, GetAllowed(bound, 40, 40), "%zu", most);
}

// Random fleets, demand, limits and faults: the bound holds in every window. A new limit binds one
// window after all daemons have it; until then the larger one counts.
Test(quota_fleet, the_bound_holds_in_every_window) {
  const bool held = rc::check("bound in every window", [] {
    EventLog::Configure("", "error");
    const auto count = *rc::gen::inRange<std::size_t>(2, 12);
    QuotaBound bound{seconds(5), 0.1, static_cast<double>(*rc::gen::element(0, 6, 20, 60))};
    const auto rate = static_cast<std::uint32_t>(*rc::gen::element(1, 5, 40, 150));
    const auto burst = static_cast<std::uint32_t>(*rc::gen::element(1, 10, 150, 600));
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const auto faults = *rc::gen::inRange(0, 12);
    QuotaFleet fleet(count, bound, seed);
    fleet.loss = *rc::gen::element(0.0, 0.0, 0.1);
    fleet.longest_delay = milliseconds(*rc::gen::element(1, 16, 200));
    fleet.SetLimit("w", rate, burst);
    fleet.RunUntil(fleet.GetNow() + seconds(7));
    const TimePoint begin = fleet.GetNow();
    const TimePoint end = begin + seconds(30);
    std::mt19937_64& random = fleet.GetRandom();
    // Pauses and usual demand fill the buckets and what is held; bursts spend both.
    const auto change = milliseconds(*rc::gen::element(1500, 3000, 30000));
    for (TimePoint from = begin; from < end; from += change) {
      const double pressure = std::array{0.0, 0.6, 0.95, 6.0, 6.0}[random() % 5];
      fleet.At(from,
               [&fleet, count, until = std::min(from + change, end), demand = pressure * rate] {
                 if (demand > 0) {
                   Demand(fleet, "w", demand, until, ListAll(count), 0.1);
                 }
               });
    }
    for (int i = 0; i < faults; ++i) {
      const TimePoint at = begin + milliseconds(random() % 25000);
      const std::size_t daemon = random() % count;
      const milliseconds length(500 + random() % 9000);
      const auto kind = random() % 6;
      fleet.At(at, [&fleet, daemon, length, kind, at] {
        if (!fleet.IsAlive(daemon)) {
          return;
        }
        if (kind == 0) {
          fleet.Kill(daemon);
          fleet.At(at + length, [&fleet, daemon] { fleet.Start(daemon); });
        } else if (kind == 1) {
          fleet.Freeze(daemon, length);
        } else if (kind == 2) {
          fleet.CutFromStore(daemon, length);
        } else if (kind == 3) {
          fleet.CutFromStore(daemon, length);
          fleet.SetGroup(daemon, 1);
          fleet.At(at + length, [&fleet, daemon] { fleet.SetGroup(daemon, 0); });
        } else if (kind == 4) {
          fleet.HangList(daemon, std::min<Duration>(length, seconds(4)));
        } else {
          fleet.SetGroup(daemon, 2);
          fleet.At(at + length, [&fleet, daemon] { fleet.SetGroup(daemon, 0); });
        }
      });
    }
    double allowed = GetAllowed(bound, rate, burst);
    TimePoint from = begin;
    if (*rc::gen::inRange(0, 2) == 1) {
      // The new limit is a quarter, and binds from a window after its last daemon has it.
      fleet.RunUntil(begin + seconds(10));
      fleet.SetLimit("w", std::max(rate / 4, 1U), burst, seconds(2));
      from = begin + seconds(12) + bound.window;
    }
    fleet.RunUntil(end + seconds(1));
    std::vector<Request> requests = fleet.GetRequests("w");
    RC_ASSERT(CountMost(requests, bound.window) <= allowed);
    if (from > begin) {
      std::erase_if(requests, [from](const Request& request) { return request.sent < from; });
      allowed = GetAllowed(bound, std::max(rate / 4, 1U), burst);
      RC_ASSERT(CountMost(requests, bound.window) <= allowed);
    }
  });
  cr_assert(held);
}
