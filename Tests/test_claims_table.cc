// Guards against an owner that forgets keys, grants keys that may have run or exceeds its
// limits, and against handovers that lose claims, repeat them or accept those of other hosts.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include "Claims/claim_table.h"
#include "Claims/claim_transfer.h"
#include "peer_codec.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};
constexpr std::uint64_t kIncarnation = 7;

ClaimOwnerView MakeView(std::uint64_t epoch, std::vector<std::string> hosts,
                        std::vector<std::uint64_t> incarnations = {}) {
  ClaimOwnerView view;
  view.Adopt(ClaimOwnerMap{epoch, std::move(hosts), std::move(incarnations), 0});
  return view;
}

// Returns a table of host "a", which is the only owner since the first map.
ClaimTable MakeTable(const ClaimLimits& limits = {}) {
  ClaimTable table = GetValue(ClaimTable::Create("a", kIncarnation, limits));
  table.AdoptMap(kStart, MakeView(1, {"a"}, {kIncarnation}));
  return table;
}

ClaimRequest MakeClaim(std::string_view key, std::uint64_t attempt, std::uint64_t epoch = 1) {
  return ClaimRequest{std::string(key), 42, epoch, attempt, "caller", 3, ""};
}

ClaimDecision Ask(ClaimTable& table, TimePoint now, std::string_view key, std::uint64_t attempt,
                  std::uint64_t epoch = 1) {
  return table.Claim(now, 0, MakeClaim(key, attempt, epoch)).decision;
}

bool Report(ClaimTable& table, TimePoint now, std::string_view key, std::uint64_t attempt,
            ClaimOutcome outcome, std::string response = "ok") {
  return table
      .Finish(now, {std::string(key), attempt, outcome, 200, std::move(response), "text/plain"})
      .recorded;
}

}  // namespace

Test(claims_table, grants_a_key_once_and_then_replies_with_the_outcome) {
  ClaimTable table = MakeTable();
  cr_assert(Ask(table, kStart, "k", 1) == ClaimDecision::kGranted);
  cr_assert(Ask(table, kStart, "k", 1) == ClaimDecision::kGranted);
  cr_assert(Ask(table, kStart, "k", 2) == ClaimDecision::kOutcomeUnknown);
  cr_assert(Report(table, kStart, "k", 1, ClaimOutcome::kDone));
  cr_assert(Report(table, kStart, "k", 1, ClaimOutcome::kDone));
  cr_assert_not(Report(table, kStart, "k", 1, ClaimOutcome::kNotRun));
  const ClaimReply reply = table.Claim(kStart, 0, MakeClaim("k", 3));
  cr_assert(reply.decision == ClaimDecision::kAlreadyDone && reply.record.answer == "ok");
  ClaimRequest other = MakeClaim("k", 4);
  other.request_hash = 43;
  cr_assert(table.Claim(kStart, 0, other).decision == ClaimDecision::kKeyReused);
  cr_assert(Ask(table, kStart + minutes(10), "k", 5) == ClaimDecision::kAlreadyDone);
  cr_assert(Ask(table, kStart + minutes(11), "k", 5) == ClaimDecision::kGranted);
}

// The workspace of a request may change between its run and its repetition.
Test(claims_table, a_key_runs_once_and_only_another_workspace_gets_no_stored_response) {
  for (const std::string_view first : {"", "press"}) {
    ClaimTable table = MakeTable();
    ClaimRequest request = MakeClaim("k", 1);
    request.workspace = first;
    cr_assert(table.Claim(kStart, 0, request).decision == ClaimDecision::kGranted);
    for (const std::string_view repeated : {"", "press", "film"}) {
      request.attempt_id = 2;
      request.workspace = repeated;
      const bool is_other = !first.empty() && repeated == "film";
      cr_assert(table.Claim(kStart, 0, request).decision ==
                (is_other ? ClaimDecision::kKeyReused : ClaimDecision::kOutcomeUnknown));
    }
    cr_assert(Report(table, kStart, "k", 1, ClaimOutcome::kDone));
    ClaimTable next = GetValue(ClaimTable::Create("b", kIncarnation, {}));
    next.AdoptMap(kStart, MakeView(1, {"a"}));
    next.AdoptMap(kStart, MakeView(2, {"b"}, {kIncarnation}));
    const auto records = table.CollectClaims(kStart, MakeView(2, {"b"}), "b");
    cr_assert(next.AcceptTransfer(kStart, {2, "a", records, true, 2, 0}).accepted);
    for (const std::string_view repeated : {"", "press", "film"}) {
      request.owner_map_epoch = 2;
      request.workspace = repeated;
      const ClaimReply reply = next.Claim(kStart, 0, request);
      const bool is_other = !first.empty() && repeated == "film";
      cr_assert(reply.decision ==
                (is_other ? ClaimDecision::kKeyReused : ClaimDecision::kAlreadyDone));
      cr_assert_eq(reply.record.answer, is_other ? "" : "ok");
    }
  }
}

Test(claims_table, a_cancellation_releases_only_its_own_attempt_and_may_arrive_before_the_claim) {
  ClaimTable table = MakeTable();
  cr_assert_not(Report(table, kStart, "k", 1, ClaimOutcome::kNotRun));
  cr_assert(Ask(table, kStart, "k", 1) == ClaimDecision::kNotRun);
  cr_assert(Ask(table, kStart, "k", 2) == ClaimDecision::kGranted);
  cr_assert_not(Report(table, kStart, "k", 1, ClaimOutcome::kNotRun));
  cr_assert(Ask(table, kStart, "k", 3) == ClaimDecision::kOutcomeUnknown);
  cr_assert(Report(table, kStart, "k", 2, ClaimOutcome::kNotRun));
  cr_assert(Ask(table, kStart, "k", 3) == ClaimDecision::kGranted);
}

Test(claims_table, a_lost_caller_or_result_leaves_the_outcome_unknown) {
  ClaimTable table = MakeTable();
  Ask(table, kStart, "gone", 1);
  Ask(table, kStart, "lost", 2);
  cr_assert(Report(table, kStart, "lost", 2, ClaimOutcome::kLost));
  cr_assert_eq(table.MarkCallerGone(kStart, "caller", 2), 0);
  cr_assert_eq(table.MarkCallerGone(kStart, "caller", 3), 1);
  for (const std::string_view key : {"gone", "lost"}) {
    cr_assert(Ask(table, kStart + minutes(9), key, 4) == ClaimDecision::kOutcomeUnknown);
  }
}

Test(claims_table, refuses_other_epochs_and_keys_of_other_owners_as_not_run) {
  ClaimTable table = MakeTable();
  const ClaimReply reply = table.Claim(kStart, 0, MakeClaim("k", 1, 2));
  cr_assert(reply.decision == ClaimDecision::kNotRun && reply.owner_map_epoch == 1);
  table.AdoptMap(kStart, MakeView(2, {"b"}));
  cr_assert(Ask(table, kStart, "k", 2, 2) == ClaimDecision::kNotRun);
  cr_assert_not(table.AdoptMap(kStart, MakeView(2, {"a"})));
  cr_assert_not(Report(table, kStart, "k", 1, ClaimOutcome::kDone));
}

Test(claims_table, a_restart_blocks_every_key_and_a_first_start_does_not) {
  ClaimTable restarted = GetValue(ClaimTable::Create("a", kIncarnation + 1, {}));
  restarted.AdoptMap(kStart, MakeView(1, {"a"}, {kIncarnation}));
  cr_assert(Ask(restarted, kStart + minutes(9), "k", 1) == ClaimDecision::kOutcomeUnknown);
  cr_assert(Ask(restarted, kStart + minutes(11), "k", 1) == ClaimDecision::kGranted);

  ClaimTable late = GetValue(ClaimTable::Create("a", kIncarnation, {}));
  late.AdoptMap(kStart, MakeView(2, {"a"}, {kIncarnation}));
  cr_assert(Ask(late, kStart, "k", 1, 2) == ClaimDecision::kOutcomeUnknown);

  ClaimTable skipped = MakeTable();
  skipped.AdoptMap(kStart, MakeView(3, {"a"}));
  cr_assert(Ask(skipped, kStart, "k", 1, 3) == ClaimDecision::kOutcomeUnknown);
}

Test(claims_table, a_restarted_new_owner_blocks_keys_despite_a_repeated_handover) {
  // The previous process accepted the handover and granted keys, but its reply was lost, so
  // that the previous owner sends the handover again.
  ClaimTable restarted = GetValue(ClaimTable::Create("b", kIncarnation + 1, {}));
  restarted.AdoptMap(kStart, MakeView(1, {"a"}));
  restarted.AdoptMap(kStart, MakeView(2, {"b"}, {kIncarnation}));
  cr_assert(restarted.AcceptTransfer(kStart, {2, "a", {}, true, 2, 0}).accepted);
  cr_assert(Ask(restarted, kStart + minutes(9), "k", 1, 2) == ClaimDecision::kOutcomeUnknown);
  cr_assert(Ask(restarted, kStart + minutes(11), "k", 1, 2) == ClaimDecision::kGranted);
}

Test(claims_table, a_full_table_refuses_new_keys_and_keeps_the_granted_ones) {
  cr_assert(rc::check("the table keeps its capacities and every granted key", [] {
    ClaimLimits limits;
    limits.key_capacity = *rc::gen::inRange<std::size_t>(1, 40);
    limits.byte_capacity = *rc::gen::inRange<std::size_t>(2000, 40000);
    ClaimTable table = MakeTable(limits);
    std::vector<std::string> granted;
    for (std::uint64_t i = 1; i <= 100; ++i) {
      const std::string key = "key-" + std::to_string(i);
      const ClaimDecision decision = Ask(table, kStart, key, i);
      RC_ASSERT(decision == ClaimDecision::kGranted || decision == ClaimDecision::kNotRun);
      if (decision == ClaimDecision::kGranted) {
        granted.push_back(key);
        const auto size = *rc::gen::inRange<std::size_t>(0, 6000);
        RC_ASSERT(Report(table, kStart, key, i, ClaimOutcome::kDone, std::string(size, 'x')));
      }
      RC_ASSERT(table.GetKeyCount() <= limits.key_capacity);
      RC_ASSERT(table.GetByteCount() <= limits.byte_capacity);
    }
    RC_ASSERT(!granted.empty());
    for (const std::string& key : granted) {
      const ClaimReply reply = table.Claim(kStart + minutes(9), 0, MakeClaim(key, 1000));
      RC_ASSERT(reply.decision == ClaimDecision::kAlreadyDone);
      RC_ASSERT(reply.record.answer.size() <= kMaxStoredResponseBytes);
    }
    Ask(table, kStart + minutes(30), "k", 2000);
    RC_ASSERT(table.GetKeyCount() == 1U);
  }));
}

Test(claims_table, refuses_oversized_keys_and_grants_nothing_while_isolated) {
  ClaimTable table = MakeTable();
  cr_assert(Ask(table, kStart, std::string(257, 'k'), 1) == ClaimDecision::kNotRun);
  table.SetIsolated(true);
  cr_assert(Ask(table, kStart, "k", 2) == ClaimDecision::kNotRun);
  cr_assert(IsOk(ClaimTable::Create("a", 1, {})));
  cr_assert_not(IsOk(ClaimTable::Create("", 1, {})));
}

Test(claims_table, a_partitioned_owner_blocks_its_moved_keys_until_it_confirms_the_new_map) {
  ClaimTable joined = GetValue(ClaimTable::Create("b", kIncarnation, {}));
  joined.AdoptMap(kStart, MakeView(1, {"a"}));
  joined.AdoptMap(kStart, MakeView(2, {"b", "a"}, {kIncarnation, 1}));
  std::string key = "k";
  while (MakeView(2, {"b", "a"}).FindOwner(key) != "b") {
    key += "k";
  }
  // Host "a" may still hold the map of epoch 1 and grant the key.
  cr_assert(Ask(joined, kStart + minutes(60), key, 1, 2) == ClaimDecision::kOutcomeUnknown);
  joined.ConfirmEpoch(kStart + minutes(60), "a", 1);
  joined.ConfirmEpoch(kStart + minutes(60), "a", 2);
  cr_assert(Ask(joined, kStart + minutes(69), key, 1, 2) == ClaimDecision::kOutcomeUnknown);
  cr_assert(Ask(joined, kStart + minutes(71), key, 1, 2) == ClaimDecision::kGranted);
}

Test(claims_transfer, parts_are_bounded_and_ordered_and_may_be_repeated) {
  ClaimTable from = MakeTable();
  ClaimTransfer transfer("a");
  transfer.AdoptMap(MakeView(1, {"a"}));
  for (std::uint64_t i = 1; i <= 60; ++i) {
    const std::string key = "key-" + std::to_string(i);
    Ask(from, kStart, key, i);
    Report(from, kStart, key, i, ClaimOutcome::kDone, std::string(kMaxStoredResponseBytes, '\xff'));
  }
  const ClaimOwnerView next = MakeView(2, {"b"}, {kIncarnation});
  from.AdoptMap(kStart, next);
  transfer.AdoptMap(next);
  ClaimTable to = GetValue(ClaimTable::Create("b", kIncarnation, {}));
  to.AdoptMap(kStart, MakeView(1, {"a"}));
  const TimePoint later = kStart + seconds(60);
  const ClaimTransferRequest early = *transfer.MakePart(later, from, "b");
  cr_assert_not(to.AcceptTransfer(later, early).accepted, "the receiver has an older map");
  to.AdoptMap(later, next);
  std::vector<ClaimTransferRequest> parts;
  while (!transfer.IsDone()) {
    parts.push_back(*transfer.MakePart(later, from, "b"));
    cr_assert_leq(Encode(parts.back()).size(), kMaxTransferPartBytes);
    ClaimTransferRequest foreign = parts.back();
    foreign.from_host = "c";
    cr_assert_not(to.AcceptTransfer(later, foreign).accepted);
    ClaimTransferRequest skipping = parts.back();
    ++skipping.part;
    cr_assert_not(to.AcceptTransfer(later, skipping).accepted);
    cr_assert(Ask(to, later, "new", 900, 2) == ClaimDecision::kOutcomeUnknown);
    const ClaimTransferReply reply = to.AcceptTransfer(later, parts.back());
    cr_assert(to.AcceptTransfer(later, parts.front()).accepted);
    transfer.HandleReply(from, "b", parts.back(), reply);
  }
  cr_assert_geq(parts.size(), 4);
  cr_assert_eq(from.GetKeyCount(), 0);
  cr_assert_eq(to.GetKeyCount(), 60);
  cr_assert(Ask(to, later, "new", 901, 2) == ClaimDecision::kGranted);
  cr_assert(to.AcceptTransfer(later, parts.back()).accepted);
  cr_assert(Ask(to, later, "key-1", 902, 2) == ClaimDecision::kAlreadyDone);
  // The records keep their age.
  cr_assert(Ask(to, kStart + minutes(10) + seconds(6), "key-1", 903, 2) == ClaimDecision::kGranted);
}

Test(claims_transfer, an_owner_hands_over_only_after_it_has_received_what_it_waits_for) {
  // Host "a" hands over to "b", which is removed before the handover has arrived.
  ClaimTable middle = GetValue(ClaimTable::Create("b", kIncarnation, {}));
  ClaimTransfer transfer("b");
  for (const ClaimOwnerView& view :
       {MakeView(1, {"a"}), MakeView(2, {"b"}, {kIncarnation}), MakeView(3, {"c"})}) {
    middle.AdoptMap(kStart, view);
    transfer.AdoptMap(view);
  }
  cr_assert_not(transfer.MakePart(kStart, middle, "c").has_value());
  ClaimTransferRequest part;
  part.owner_map_epoch = 2;
  part.from_host = "a";
  part.change_epoch = 2;
  part.complete = true;
  part.claims.resize(1);
  part.claims[0].key = "k";
  part.claims[0].state = ClaimState::kRunning;
  part.claims[0].attempt_id = 5;
  cr_assert(middle.AcceptTransfer(kStart, part).accepted);
  const auto passed = transfer.MakePart(kStart, middle, "c");
  cr_assert(passed.has_value() && passed->complete && passed->claims.size() == 1);
}
