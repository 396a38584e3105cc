// Guards against keys that run twice within the retention, requests that are refused as not
// run although they ran, and keys that never run. The tests simulate several owners and
// callers with restarts, lost, repeated and reordered messages, map changes and handovers.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Fakes/claims_cluster.h"
#include "Fakes/claims_histories.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

// Deliberately broken: after a restart, it grants every key at once although an earlier process
// may have granted the key.
class TableForgettingOnRestart : public ClaimTable {
 public:
  static Result<TableForgettingOnRestart> Create(std::string_view host, std::uint64_t incarnation,
                                                 const ClaimLimits& limits,
                                                 std::uint64_t started_unix_ms) {
    return TableForgettingOnRestart(
        GetValue(ClaimTable::Create(host, incarnation, limits, started_unix_ms)), incarnation);
  }
  bool AdoptMap(TimePoint now, const ClaimOwnerView& next) {
    if (this->GetEpoch() != 0) {
      return ClaimTable::AdoptMap(now, next);
    }
    // Adopts an empty map first, so that the process seems to have been added only now.
    ClaimOwnerView empty;
    empty.Adopt({next.GetEpoch() - 1, {}, {}, 0});
    ClaimTable::AdoptMap(now, empty);
    const std::vector<std::string> hosts(next.GetHosts().begin(), next.GetHosts().end());
    ClaimOwnerView added;
    added.Adopt({next.GetEpoch(), hosts, std::vector<std::uint64_t>(hosts.size(), this->own), 0});
    return ClaimTable::AdoptMap(now, added);
  }

 private:
  TableForgettingOnRestart(ClaimTable table, std::uint64_t own_incarnation)
      : ClaimTable(std::move(table)), own(own_incarnation) {}
  std::uint64_t own;
};

// Deliberately broken: a cancellation releases the key whichever attempt holds it.
class TableCancellingAnyAttempt : public ClaimTable {
 public:
  static Result<TableCancellingAnyAttempt> Create(std::string_view host, std::uint64_t incarnation,
                                                  const ClaimLimits& limits,
                                                  std::uint64_t started_unix_ms) {
    return TableCancellingAnyAttempt(
        GetValue(ClaimTable::Create(host, incarnation, limits, started_unix_ms)));
  }
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
    ClaimReply reply = ClaimTable::Claim(now, unix_ms, request);
    if (reply.decision == ClaimDecision::kGranted) {
      this->holders[request.key] = request.attempt_id;
    }
    return reply;
  }
  ClaimDoneReply Finish(TimePoint now, ClaimDoneRequest request) {
    if (request.outcome == ClaimOutcome::kNotRun && this->holders.contains(request.key)) {
      request.attempt_id = this->holders[request.key];
    }
    return ClaimTable::Finish(now, request);
  }

 private:
  explicit TableCancellingAnyAttempt(ClaimTable table) : ClaimTable(std::move(table)) {}
  std::map<std::string, std::uint64_t> holders;
};

// Deliberately broken: a new owner does not wait for handovers.
class TableSkippingHandover : public ClaimTable {
 public:
  static Result<TableSkippingHandover> Create(std::string_view host, std::uint64_t incarnation,
                                              const ClaimLimits& limits,
                                              std::uint64_t started_unix_ms) {
    return TableSkippingHandover(
        GetValue(ClaimTable::Create(host, incarnation, limits, started_unix_ms)), host);
  }
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request) {
    for (const ClaimWait& wait : this->ListWaits(now)) {
      ClaimTransferRequest part;
      part.from_host = wait.host;
      part.change_epoch = wait.change_epoch;
      part.complete = true;
      this->AcceptTransfer(now, part);
    }
    return ClaimTable::Claim(now, unix_ms, request);
  }

 private:
  TableSkippingHandover(ClaimTable table, std::string_view) : ClaimTable(std::move(table)) {}
};

// Deliberately broken: runs the request when there is no reply of the owner.
class GateRunningWithoutReply : public ClaimGate {
 public:
  using ClaimGate::ClaimGate;
  ClaimGateStep HandleReply(TimePoint now, const std::optional<ClaimReply>& reply) {
    ClaimReply granted;
    granted.decision = ClaimDecision::kGranted;
    return ClaimGate::HandleReply(now, reply.has_value() ? reply : granted);
  }
};

}  // namespace

Test(claims_cluster, a_key_runs_at_most_once_within_the_retention) {
  std::size_t runs = 0;
  cr_assert(rc::check("a key runs at most once", [&runs] {
    RC_ASSERT((RunsOnlyOnce<ClaimTable, ClaimGate>(*GenSteps(), &runs)));
  }));
  // A cluster that refuses every request would pass the check above.
  cr_assert_gt(runs, 100);
}

Test(claims_cluster, the_check_detects_a_table_that_forgets_claims_after_a_restart) {
  cr_assert((IsBrokenVariantFound<TableForgettingOnRestart, ClaimGate>()));
}

Test(claims_cluster, the_check_detects_a_cancellation_that_releases_the_key_of_another_attempt) {
  cr_assert((IsBrokenVariantFound<TableCancellingAnyAttempt, ClaimGate>()));
}

Test(claims_cluster, the_check_detects_an_owner_that_does_not_wait_for_a_handover) {
  cr_assert((IsBrokenVariantFound<TableSkippingHandover, ClaimGate>()));
}

Test(claims_cluster, the_check_detects_a_gate_that_runs_without_a_reply) {
  cr_assert((IsBrokenVariantFound<ClaimTable, GateRunningWithoutReply>()));
}

Test(claims_cluster, without_faults_every_key_runs_and_a_resend_receives_the_stored_response) {
  using Cluster = ClaimsCluster<ClaimTable, ClaimGate>;
  Cluster cluster(3);
  for (int round = 0; round < 2; ++round) {
    for (std::size_t key = 0; key < Cluster::kKeyCount; ++key) {
      cluster.SendRequest((key + static_cast<std::size_t>(round)) % Cluster::kHostCount, key);
      cluster.DeliverAll();
    }
  }
  cr_assert_eq(cluster.CountKeysRun(), Cluster::kKeyCount);
  cr_assert_eq(cluster.CountStoredResponses(), Cluster::kKeyCount);
}

Test(claims_cluster, stored_responses_survive_map_changes_with_handover) {
  using Cluster = ClaimsCluster<ClaimTable, ClaimGate>;
  Cluster cluster(3);
  for (std::size_t key = 0; key < Cluster::kKeyCount; ++key) {
    cluster.SendRequest(0, key);
    cluster.DeliverAll();
  }
  // Host 3 is added, then host 0 is removed. No request has to wait for the retention.
  for (const std::size_t changed : {std::size_t{3}, std::size_t{0}}) {
    cluster.ChangeMap(changed);
    for (std::size_t host = 0; host < Cluster::kHostCount; ++host) {
      cluster.AdoptUpTo(host, changed == 3 ? 2 : 3);
    }
    for (std::size_t host = 0; host < Cluster::kHostCount; ++host) {
      while (cluster.HasPendingHandover(host)) {
        cluster.SendPart(host, 0);
        cluster.DeliverAll();
      }
    }
  }
  for (std::size_t key = 0; key < Cluster::kKeyCount; ++key) {
    cluster.SendRequest(4, key);
    cluster.DeliverAll();
  }
  cr_assert_eq(cluster.CountStoredResponses(), Cluster::kKeyCount);
  cr_assert_not(cluster.HasDoubleRun());
}
