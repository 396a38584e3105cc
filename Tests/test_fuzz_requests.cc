// Guards against requests that run twice, run after they were reported to their caller as not
// run, receive the response to another request, or start on a draining target. Random
// histories of faults are run against the invariants that RequestOracle checks; deliberately
// broken types show that it detects each kind of violation.
#include <criterion/criterion.h>

#include <cstdio>
#include <string>
#include <vector>

#include "Claims/claim_table.h"
#include "Fuzz/fuzz_runner.h"
#include "Fuzz/request_world.h"
#include "Routing/target_selector.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

struct RealParts {
  using Selector = TargetSelector;
  using Table = ClaimTable;
  using Gate = ClaimGate;
  using Policy = RetryPolicy;
};

// Deliberately broken: ignores that a target is draining.
class DrainIgnoringSelector : public TargetSelector {
 public:
  using TargetSelector::TargetSelector;
  void UpdateTargets(TimePoint now, std::span<const TargetEndpoint> targets) {
    std::vector<TargetEndpoint> copies(targets.begin(), targets.end());
    for (TargetEndpoint& endpoint : copies) {
      endpoint.draining = false;
    }
    TargetSelector::UpdateTargets(now, copies);
  }
};

// Deliberately broken: reports a request as not run when its response was lost.
struct FalseNotRunPolicy {
  static RetryDecision Decide(TimePoint now, const RetryRoute& route, const RetryAttempt& attempt,
                              RetryBudget& budget) {
    RetryDecision decision = RetryPolicy::Decide(now, route, attempt, budget);
    if (decision.action == RetryAction::kGiveUpUnknown) {
      decision.action = RetryAction::kGiveUpNotRun;
    }
    return decision;
  }
};

// Deliberately broken: forgets claims at a restart. It enters its own incarnation into each
// owner map, so that a new process grants keys that its predecessor may have granted.
class RestartForgettingTable : public ClaimTable {
 public:
  static Result<RestartForgettingTable> Create(std::string_view host, std::uint64_t incarnation,
                                               const ClaimLimits& limits) {
    return RestartForgettingTable(GetValue(ClaimTable::Create(host, incarnation, limits)),
                                  std::string(host), incarnation);
  }
  bool AdoptMap(TimePoint now, const ClaimOwnerView& next) {
    ClaimOwnerMap map = next.GetMap();
    for (std::size_t i = 0; i < map.hosts.size(); ++i) {
      if (map.hosts[i] == this->name) {
        map.incarnations[i] = this->process;
      }
    }
    ClaimOwnerView changed_view;
    changed_view.Adopt(map);
    return ClaimTable::AdoptMap(now, changed_view);
  }

 private:
  RestartForgettingTable(ClaimTable table, std::string own_name, std::uint64_t own_process)
      : ClaimTable(std::move(table)), name(std::move(own_name)), process(own_process) {}
  std::string name;
  std::uint64_t process;
};

// Deliberately broken: returns for every claim the response that was last stored for any key.
class WrongResponseTable : public ClaimTable {
 public:
  static Result<WrongResponseTable> Create(std::string_view host, std::uint64_t incarnation,
                                           const ClaimLimits& limits) {
    return WrongResponseTable(GetValue(ClaimTable::Create(host, incarnation, limits)));
  }
  ClaimDoneReply Finish(TimePoint now, const ClaimDoneRequest& request) {
    this->last_response =
        request.outcome == ClaimOutcome::kDone ? request.answer : this->last_response;
    return ClaimTable::Finish(now, request);
  }
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
    ClaimReply reply = ClaimTable::Claim(now, unix_ms, request);
    reply.record.answer = this->last_response;
    return reply;
  }

 private:
  explicit WrongResponseTable(ClaimTable table) : ClaimTable(std::move(table)) {}
  std::string last_response;
};

// Deliberately broken: lets a request start no matter how long ago its claim was granted.
class ExpiredGrantGate : public ClaimGate {
 public:
  using ClaimGate::ClaimGate;
  bool IsStartAllowed(TimePoint /*now*/) const { return true; }
};

struct ExpiredGrantParts : RealParts {
  using Gate = ExpiredGrantGate;
};
struct DrainIgnoringParts : RealParts {
  using Selector = DrainIgnoringSelector;
};
struct FalseNotRunParts : RealParts {
  using Policy = FalseNotRunPolicy;
};
struct RestartForgettingParts : RealParts {
  using Table = RestartForgettingTable;
};
struct WrongResponseParts : RealParts {
  using Table = WrongResponseTable;
};

// Runs the seeds 1 to 100. Returns the name of the invariant that is violated first, such as
// "I4", or an empty string.
template <typename Parts>
std::string FindFirstViolation() {
  const auto failure = FuzzRunner<RequestWorld<Parts>>({1, 200, 100}).Run();
  return failure.has_value() ? failure->violation.substr(0, 2) : "";
}

}  // namespace

Test(fuzz_requests, invariants_hold_under_faults) {
  FuzzRunner<RequestWorld<RealParts>> runner(FuzzOptions::Read({1, 200, 2000}));
  const bool passes = runner.Passes();
  std::fprintf(stderr, "%zu steps, %zu runs, %zu responses\n", runner.GetStepCount(),
               RequestWorld<RealParts>::runs, RequestWorld<RealParts>::responses);
  cr_assert(passes);
  // The check above would also pass if every request were refused.
  cr_assert_gt(RequestWorld<RealParts>::responses, 0);
}

Test(fuzz_requests, the_oracle_finds_a_response_to_another_request) {
  cr_assert(FindFirstViolation<WrongResponseParts>() == "I4");
}

Test(fuzz_requests, the_oracle_finds_a_not_run_after_a_lost_response) {
  cr_assert(FindFirstViolation<FalseNotRunParts>() == "I5");
}

Test(fuzz_requests, the_oracle_finds_a_claim_table_that_forgets_after_a_restart) {
  cr_assert(FindFirstViolation<RestartForgettingParts>() == "I6");
}

Test(fuzz_requests, the_oracle_finds_a_selector_that_ignores_draining) {
  cr_assert(FindFirstViolation<DrainIgnoringParts>() == "I7");
}

// In this history a process is paused between the grant of a key and the first byte to a
// target, for longer than the owner retains the key.
Test(fuzz_requests, the_oracle_finds_a_start_long_after_its_grant) {
  const auto failure = FuzzRunner<RequestWorld<ExpiredGrantParts>>({4310, 200, 1}).Run();
  cr_assert(failure.has_value());
  cr_assert(failure->violation.substr(0, 2) == "I6");
  cr_assert(FuzzRunner<RequestWorld<RealParts>>({4310, 200, 1}).Passes());
}
