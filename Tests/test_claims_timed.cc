// Guards against timed keys that run twice because an owner relies on the time of a key too
// early, and against restarted owners that refuse new timed keys for the whole retention.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "Claims/claim_isolation.h"
#include "Claims/claim_key_time.h"
#include "Claims/claim_owner_planner.h"
#include "Fakes/claims_cluster.h"
#include "Fakes/claims_histories.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};
constexpr std::uint64_t kIncarnation = 7;
constexpr std::uint64_t kSkewMs = 2000;
constexpr std::uint64_t kClaimLifetimeMs = 605'000;
constexpr std::uint64_t kOldMapUnixMs = kTestUnixMs - 2 * kClaimLifetimeMs;

ClaimOwnerView MakeView(std::uint64_t epoch, std::vector<std::string> hosts,
                        std::uint64_t created_unix_ms) {
  ClaimOwnerView view;
  view.Adopt(ClaimOwnerMap{epoch, std::move(hosts), {}, created_unix_ms});
  return view;
}

// Returns the table of a process of host "a" that has just started and holds no map.
ClaimTable MakeStartedTable(std::uint64_t started_unix_ms = kTestUnixMs) {
  ClaimTable table = GetValue(ClaimTable::Create("a", kIncarnation, {}, started_unix_ms));
  table.SetConnected(true);
  return table;
}

// Returns the table of a restarted process that has adopted a map with this creation time,
// which names host "a".
ClaimTable MakeRestartedTable(std::uint64_t created_unix_ms,
                              std::uint64_t started_unix_ms = kTestUnixMs) {
  ClaimTable table = MakeStartedTable(started_unix_ms);
  table.AdoptMap(kStart, MakeView(4, {"a"}, created_unix_ms));
  return table;
}

// Makes a claim call at the given time for a new key whose own time differs from kTestUnixMs
// by offset_ms.
ClaimDecision AskTimed(ClaimTable& table, TimePoint now, std::int64_t offset_ms,
                       std::uint64_t epoch = 4) {
  static std::uint64_t attempt = 0;
  ++attempt;
  const auto key_unix_ms =
      static_cast<std::uint64_t>(static_cast<std::int64_t>(kTestUnixMs) + offset_ms);
  return table
      .Claim(now, GetTestUnixMs(now),
             {MakeTimedKey(key_unix_ms, attempt), 42, epoch, attempt, "caller", 3})
      .decision;
}

// Deliberately broken: grants keys whose time is ahead of the owner's clock.
class TableGrantingFutureKeys : public ClaimTable {
 public:
  static Result<TableGrantingFutureKeys> Create(std::string_view host, std::uint64_t incarnation,
                                                const ClaimLimits& limits,
                                                std::uint64_t started_unix_ms) {
    return TableGrantingFutureKeys(
        GetValue(ClaimTable::Create(host, incarnation, limits, started_unix_ms)));
  }
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
    return ClaimTable::Claim(now, ClaimKeyTime::Read(request.key).value_or(unix_ms), request);
  }

 private:
  explicit TableGrantingFutureKeys(ClaimTable table) : ClaimTable(std::move(table)) {}
};

// Deliberately broken: grants keys from before its start as new.
class TableWithTooEarlyStart : public ClaimTable {
 public:
  static Result<TableWithTooEarlyStart> Create(std::string_view host, std::uint64_t incarnation,
                                               const ClaimLimits& limits,
                                               std::uint64_t started_unix_ms) {
    return TableWithTooEarlyStart(GetValue(
        ClaimTable::Create(host, incarnation, limits, started_unix_ms - kClaimLifetimeMs)));
  }

 private:
  explicit TableWithTooEarlyStart(ClaimTable table) : ClaimTable(std::move(table)) {}
};

}  // namespace

Test(claims_timed, only_version_7_uuids_carry_a_time) {
  cr_assert(ClaimKeyTime::Read("01234567-89AB-7def-8123-456789abcdef") == 0x0123456789ABU);
  cr_assert(ClaimKeyTime::Read("ffffffff-ffff-7fff-bfff-ffffffffffff") == 0xffffffffffffU);
  cr_assert(ClaimKeyTime::Read(MakeTimedKey(kTestUnixMs, 5)) == kTestUnixMs);
  for (const char variant : {'8', '9', 'a', 'b', 'A', 'B'}) {
    std::string valid = "01234567-89ab-7def-8123-456789abcdef";
    valid[19] = variant;
    cr_assert(ClaimKeyTime::Read(valid).has_value(), "variant %c", variant);
  }
  for (const char* other :
       {"", "order-1", "01234567-89ab-4def-8123-456789abcdef",
        "01234567-89ab-8def-8123-456789abcdef", "01234567-89ab-7def-7123-456789abcdef",
        "01234567-89ab-7def-c123-456789abcdef", "01234567-89ab-7def-8123-456789abcdeg",
        "0123456-789ab-7def-8123-456789abcdef", "01234567-89ab-7def-8123-456789abcde",
        "01234567-89ab-7def-8123-456789abcdef0", "01234567089ab-7def-8123-456789abcdef",
        "-1234567-89ab-7def-8123-456789abcdef"}) {
    cr_assert_not(ClaimKeyTime::Read(other).has_value(), "%s", other);
  }
}

Test(claims_timed, a_key_too_far_ahead_of_the_clock_is_always_refused_unless_it_is_held) {
  ClaimTable first_owner = MakeStartedTable();
  first_owner.AdoptMap(kStart, ClaimOwnerView());
  ClaimOwnerView first;
  first.Adopt(ClaimOwnerMap{1, {"a"}, {kIncarnation}, kOldMapUnixMs});
  first_owner.AdoptMap(kStart, first);
  cr_assert(AskTimed(first_owner, kStart, kSkewMs, 1) == ClaimDecision::kGranted);
  cr_assert(AskTimed(first_owner, kStart, kSkewMs + 1, 1) == ClaimDecision::kKeyAhead);
  cr_assert(AskTimed(first_owner, kStart + seconds(1), kSkewMs + 1, 1) == ClaimDecision::kGranted);
  ClaimTable restarted = MakeRestartedTable(kOldMapUnixMs);
  cr_assert(AskTimed(restarted, kStart, kSkewMs + 1) == ClaimDecision::kKeyAhead);
  cr_assert(AskTimed(restarted, kStart + minutes(11), 720'000) == ClaimDecision::kKeyAhead);
  // For a key that the table holds, the reply depends on its claim and not on the clock.
  const std::string key = MakeTimedKey(kTestUnixMs + kSkewMs, 1);
  first_owner.Claim(kStart, kTestUnixMs, {key, 42, 1, 900, "caller", 3});
  cr_assert(first_owner.Claim(kStart, kTestUnixMs - 1, {key, 42, 1, 901, "caller", 3}).decision ==
            ClaimDecision::kOutcomeUnknown);
}

Test(claims_timed, a_restarted_owner_grants_keys_later_than_its_start_plus_twice_the_clock_skew) {
  const TimePoint settled = kStart + kMapSettleTime;
  ClaimTable table = MakeRestartedTable(kOldMapUnixMs);
  cr_assert(AskTimed(table, settled, 2 * kSkewMs) == ClaimDecision::kOutcomeUnknown);
  cr_assert(AskTimed(table, settled, 2 * kSkewMs + 1) == ClaimDecision::kGranted);
  cr_assert(AskTimed(table, settled, -1000) == ClaimDecision::kOutcomeUnknown);
  const ClaimRequest untimed{"k", 42, 4, 900, "caller", 3};
  cr_assert(table.Claim(settled, GetTestUnixMs(settled), untimed).decision ==
            ClaimDecision::kOutcomeUnknown);
  const ClaimRequest timed{MakeTimedKey(kTestUnixMs + 5000, 0), 42, 4, 901, "caller", 3};
  cr_assert(table.Claim(settled, GetTestUnixMs(settled), timed).decision ==
            ClaimDecision::kGranted);
  ClaimRequest resend = timed;
  resend.attempt_id = 902;
  cr_assert(table.Claim(settled, GetTestUnixMs(settled), resend).decision ==
            ClaimDecision::kOutcomeUnknown);
}

Test(claims_timed, a_timed_key_is_blocked_until_the_map_has_settled_and_peers_are_reached) {
  const TimePoint settled = kStart + kMapSettleTime;
  ClaimTable table = MakeRestartedTable(kOldMapUnixMs);
  cr_assert(AskTimed(table, settled - Duration(1), 5000) == ClaimDecision::kOutcomeUnknown);
  table.SetConnected(false);
  cr_assert(AskTimed(table, settled, 5000) == ClaimDecision::kOutcomeUnknown);
  table.SetConnected(true);
  cr_assert(AskTimed(table, settled, 5000) == ClaimDecision::kGranted);
}

Test(claims_timed, a_new_map_blocks_timed_keys_until_previous_owners_stopped_granting) {
  constexpr std::int64_t kBound = kClaimLifetimeMs + 2 * kSkewMs;
  const TimePoint late = kStart + std::chrono::milliseconds(kClaimLifetimeMs - 1);
  ClaimTable fresh = MakeRestartedTable(kTestUnixMs - 5000);
  cr_assert(AskTimed(fresh, late, 10'000) == ClaimDecision::kOutcomeUnknown);
  cr_assert(AskTimed(fresh, late, kBound - 5000) == ClaimDecision::kOutcomeUnknown);
  cr_assert(AskTimed(fresh, late, kBound - 4999) == ClaimDecision::kGranted);
  // The map is old enough at the time of the claim, but a previous owner may have granted the
  // key before.
  ClaimTable aging = MakeRestartedTable(kTestUnixMs - kClaimLifetimeMs + 60'000);
  cr_assert(AskTimed(aging, kStart + minutes(5), 60'000 + 4000) == ClaimDecision::kOutcomeUnknown);
  cr_assert(AskTimed(aging, kStart + minutes(5), 60'000 + 4001) == ClaimDecision::kGranted);
  ClaimTable undated = MakeRestartedTable(0);
  cr_assert(AskTimed(undated, late, 500'000) == ClaimDecision::kOutcomeUnknown);
  ClaimTable no_start_time = MakeRestartedTable(kOldMapUnixMs, 0);
  cr_assert(AskTimed(no_start_time, late, 500'000) == ClaimDecision::kOutcomeUnknown);
}

Test(claims_timed, a_missed_epoch_and_a_pending_handover_block_timed_keys_too) {
  ClaimTable skipped = MakeRestartedTable(kOldMapUnixMs);
  skipped.AdoptMap(kStart, MakeView(6, {"a"}, kOldMapUnixMs));
  cr_assert(AskTimed(skipped, kStart + minutes(9), 500'000, 6) == ClaimDecision::kOutcomeUnknown);
  ClaimTable waiting = MakeStartedTable();
  waiting.AdoptMap(kStart, MakeView(4, {"b"}, kOldMapUnixMs));
  waiting.AdoptMap(kStart, MakeView(5, {"a"}, kOldMapUnixMs));
  cr_assert(AskTimed(waiting, kStart + minutes(9), 500'000, 5) == ClaimDecision::kOutcomeUnknown);
  cr_assert(waiting.AcceptTransfer(kStart + minutes(9), {5, "b", {}, true, 5, 0}).accepted);
  cr_assert(AskTimed(waiting, kStart + minutes(9), 500'000, 5) == ClaimDecision::kGranted);
}

Test(claims_timed, a_process_is_connected_only_after_it_has_received_messages_of_other_owners) {
  const ClaimOwnerView view = MakeView(1, {"a", "b", "c", "d", "e"}, kOldMapUnixMs);
  ClaimIsolation isolation(kStart, "a", ClaimLimits().GetClaimLifetime());
  cr_assert_not(isolation.IsIsolated(kStart, view));
  cr_assert_not(isolation.IsConnected(kStart, view));
  isolation.NoteHeard(kStart, "x");
  cr_assert_not(isolation.IsConnected(kStart, view));
  isolation.NoteHeard(kStart, "b");
  cr_assert(isolation.IsConnected(kStart, view));
  cr_assert_not(isolation.IsConnected(kStart + minutes(6), view));
}

Test(claims_timed, the_planner_sets_the_creation_time_of_its_maps) {
  ClaimOwnerPlanner planner{ClaimPlannerLimits{}};
  planner.NoteHost(kStart, "a", 1, ClaimHostStatus::kAlive);
  const auto first = planner.Propose(kStart + seconds(5), kTestUnixMs, {}, true);
  cr_assert(first.has_value() && first->created_unix_ms == kTestUnixMs);
  planner.NoteHost(kStart, "b", 1, ClaimHostStatus::kAlive);
  const ClaimOwnerView view = MakeView(1, {"a"}, kTestUnixMs);
  planner.Propose(kStart, 1, view, false);
  const auto next = planner.Propose(kStart + minutes(2), kTestUnixMs + 120'000, view, false);
  cr_assert(next.has_value() && next->created_unix_ms == kTestUnixMs + 120'000);
}

Test(claims_timed, a_key_ahead_of_the_clock_is_refused_and_its_attempt_is_cancelled) {
  ClaimGate gate({false, ClaimKeyRule::kRequired, "k", 42}, {"caller", 3, 9});
  gate.Begin(kStart, 1, seconds(5));
  ClaimReply reply;
  reply.decision = ClaimDecision::kKeyAhead;
  reply.owner_map_epoch = 1;
  const ClaimGateStep step = gate.HandleReply(kStart, reply);
  cr_assert(step.action == ClaimGateAction::kRefuseKeyAhead);
  cr_assert(step.report.has_value() && step.report->outcome == ClaimOutcome::kNotRun);
  cr_assert_not(gate.IsStartAllowed(kStart));
}

Test(claims_timed, a_key_runs_at_most_once_with_old_maps_and_clocks_that_differ) {
  std::size_t runs = 0;
  cr_assert(rc::check("a key runs at most once", [&runs] {
    RC_ASSERT((RunsOnlyOnce<ClaimTable, ClaimGate>(*GenTimedSteps(), &runs)));
  }));
  cr_assert_gt(runs, 100);
}

Test(claims_timed, the_check_detects_an_owner_that_grants_keys_ahead_of_its_clock) {
  cr_assert((IsBrokenVariantFound<TableGrantingFutureKeys, ClaimGate>(GenTimedSteps())));
}

Test(claims_timed, the_check_detects_an_owner_that_grants_keys_from_before_its_start) {
  cr_assert((IsBrokenVariantFound<TableWithTooEarlyStart, ClaimGate>(GenTimedSteps())));
}

Test(claims_timed, new_timed_keys_run_soon_after_all_owners_restart) {
  using Cluster = ClaimsCluster<ClaimTable, ClaimGate>;
  Cluster cluster(Cluster::kHostCount);
  cluster.RestartAll();
  cluster.Advance(kMapSettleTime);
  for (std::size_t i = 0; i < 50; ++i) {
    cluster.SendRequest(i % Cluster::kHostCount, i % Cluster::kKeyCount);
    cluster.DeliverAll();
  }
  cr_assert_eq(cluster.CountRuns(), 0, "keys without a time may have run before");
  for (std::size_t i = 0; i < 50; ++i) {
    cluster.SendNewTimed(i % Cluster::kHostCount, 0);
    cluster.DeliverAll();
  }
  cr_assert_eq(cluster.CountRuns(), 50);
  cr_assert_not(cluster.HasDoubleRun());
  cr_assert_not(cluster.HasWrongResponse());
}
