// Guards against daemons that return to an older version, hold a text other than the accepted
// one, or route to a service that their snapshot lacks, against submissions that are accepted
// twice, and against versions that do not reach every daemon once faults have ended. Random
// histories of faults are run against the invariants that VersionOracle checks; deliberately
// broken types show that it detects violations.
#include <criterion/criterion.h>

#include <cstdio>
#include <memory>
#include <string>

#include "Core/digest.h"
#include "Daemon/rules_state.h"
#include "Fuzz/fuzz_runner.h"
#include "Fuzz/version_world.h"
#include "Rules/rules_delta.h"
#include "Rules/rules_parser.h"
#include "Version/snapshot_builder.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

struct RealParts {
  using Rules = RulesState;
  using Repair = StoreRepair;
};

// Deliberately broken: puts an older version in force when one is offered.
class RevertingRules {
 public:
  OfferOutcome Offer(RulesVersion version) {
    OfferOutcome outcome = this->rules->Offer(version);
    if (outcome == OfferOutcome::kOlder) {
      this->rules = std::make_unique<RulesState>();
      outcome = this->rules->Offer(std::move(version));
    }
    return outcome;
  }
  Result<OfferOutcome> OfferDelta(const RulesDeltaScript& delta) {
    const auto parent = this->rules->FindVersion(delta.parent);
    const bool older = parent != nullptr && IsNewer(this->rules->GetStamp(), delta.result);
    Result<std::string> text = RulesDelta::Apply(older ? parent->text : "", delta);
    if (!older || !IsOk(text)) {
      return this->rules->OfferDelta(delta);
    }
    RulesVersion version{delta.result, delta.parent, "", "", 0, GetValue(text)};
    return this->Offer(std::move(version));
  }
  auto GetHeld() const { return this->rules->GetHeld(); }
  auto GetStamp() const { return this->rules->GetStamp(); }
  auto GetSnapshot() const { return this->rules->GetSnapshot(); }
  auto FindVersion(const VersionStamp& stamp) const { return this->rules->FindVersion(stamp); }
  auto MakeDelta(const VersionStamp& from) const { return this->rules->MakeDelta(from); }
  auto HandleFetchRequest(const FetchRulesRequest& request) const {
    return this->rules->HandleFetchRequest(request);
  }
  void RebuildSnapshot(std::span<const MemberRecord> members) {
    this->rules->RebuildSnapshot(members);
  }

 private:
  std::unique_ptr<RulesState> rules = std::make_unique<RulesState>();
};

// Deliberately broken: when a delta cannot be applied, holds the parent's text under the stamp
// of the result.
class UncheckedDigestRules : public RulesState {
 public:
  Result<OfferOutcome> OfferDelta(const RulesDeltaScript& delta) {
    Result<OfferOutcome> outcome = RulesState::OfferDelta(delta);
    const auto parent = this->FindVersion(delta.parent);
    if (!IsOk(outcome) && parent != nullptr) {
      RulesVersion version = *parent;
      version.stamp = delta.result;
      this->forged = std::make_shared<const RulesVersion>(std::move(version));
    }
    return outcome;
  }
  std::shared_ptr<const RulesVersion> GetHeld() const {
    const auto held = RulesState::GetHeld();
    const bool newer = this->forged != nullptr && IsNewer(this->forged->stamp, this->GetStamp());
    return newer ? this->forged : held;
  }

 private:
  std::shared_ptr<const RulesVersion> forged;
};

// Combines the routes of one snapshot with the services of an earlier one.
struct SplitSnapshot {
  const VersionStamp& GetVersion() const { return this->routes->GetVersion(); }
  const RulesDocument& GetDocument() const { return this->routes->GetDocument(); }
  const SnapshotService* FindService(std::string_view name) const {
    return this->services->FindService(name);
  }
  std::shared_ptr<const RouteSnapshot> routes;
  std::shared_ptr<const RouteSnapshot> services;
};

// Deliberately broken: puts new routes in force before the services that they name.
class RoutesFirstRules : public RulesState {
 public:
  void RebuildSnapshot(std::span<const MemberRecord> members) {
    const auto before = RulesState::GetSnapshot();
    RulesState::RebuildSnapshot(members);
    const auto after = RulesState::GetSnapshot();
    this->split = std::make_shared<const SplitSnapshot>(
        SplitSnapshot{after, before == nullptr ? after : before});
  }
  std::shared_ptr<const SplitSnapshot> GetSnapshot() const { return this->split; }

 private:
  std::shared_ptr<const SplitSnapshot> split;
};

// Deliberately broken: does not write a newer version back to a store that has lost it.
class NoWriteBackRepair : public StoreRepair {
 public:
  using StoreRepair::StoreRepair;
  RepairAction Handle(const RepairEvent& event, const std::shared_ptr<const RulesVersion>& held,
                      TimePoint now, std::mt19937_64& random) {
    RepairAction action = StoreRepair::Handle(event, held, now, random);
    return std::holds_alternative<RepairWriteBody>(action) ? RepairNothing{} : action;
  }
};

struct RevertingParts : RealParts {
  using Rules = RevertingRules;
};
struct UncheckedDigestParts : RealParts {
  using Rules = UncheckedDigestRules;
};
struct RoutesFirstParts : RealParts {
  using Rules = RoutesFirstRules;
};
struct NoWriteBackParts : RealParts {
  using Repair = NoWriteBackRepair;
};

// Runs the seeds 1 to 60. Returns the name of the invariant that is violated first, such as
// "I1", or an empty string.
template <typename Parts>
std::string FindFirstViolation() {
  const auto failure = FuzzRunner<VersionWorld<Parts>>({1, 100, 60}).Run();
  return failure.has_value() ? failure->violation.substr(0, 2) : "";
}

}  // namespace

Test(fuzz_versions, invariants_hold_under_faults) {
  using World = VersionWorld<RealParts>;
  FuzzRunner<World> runner(FuzzOptions::Read({1, 100, 100}));
  const bool passes = runner.Passes();
  std::fprintf(stderr,
               "%zu steps, %zu versions accepted, in force after at most %lld ms, store after "
               "%lld ms, %zu older after a restart, %zu texts lost\n",
               runner.GetStepCount(), World::accepted,
               static_cast<long long>(CountMilliseconds(World::longest_in_force)),
               static_cast<long long>(CountMilliseconds(World::longest_store)),
               World::older_after_restart, World::texts_lost);
  cr_assert(passes);
}

// These seeds once found a store that stayed older than its daemons, and a daemon that stayed
// unknown to daemons that had restarted.
Test(fuzz_versions, seeds_of_faults_found_earlier_pass) {
  for (const std::uint64_t seed : {std::uint64_t{61}, std::uint64_t{1383}}) {
    cr_assert(FuzzRunner<VersionWorld<RealParts>>({seed, 100, 1}).Passes());
  }
}

Test(fuzz_versions, the_oracle_finds_a_holder_that_accepts_older_versions) {
  cr_assert(FindFirstViolation<RevertingParts>() == "I1");
}

Test(fuzz_versions, the_oracle_finds_routes_swapped_in_before_their_services) {
  cr_assert(FindFirstViolation<RoutesFirstParts>() == "I2");
}

Test(fuzz_versions, the_oracle_finds_a_delta_without_its_digest_check) {
  cr_assert(FindFirstViolation<UncheckedDigestParts>() == "I3");
}

Test(fuzz_versions, the_oracle_finds_a_repair_that_does_not_write_back) {
  cr_assert(FindFirstViolation<NoWriteBackParts>() == "I9");
}
