// Guards against an API key that is served longer than the bound after its removal was
// acknowledged, by a daemon that is cut off, suspended, restarted or gets its answers late, or
// after the store was restored from a copy, and against proofs that cost many calls to the store.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "Fakes/proof_fleet.h"
#include "Workspaces/table_proof.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{seconds(100)};

TableProof MakeProof() {
  TableProof proof;
  proof.SetBound(seconds(5));
  return proof;
}

// Disturbs a random daemon.
void Disturb(ProofFleet& fleet, std::mt19937_64& random) {
  const std::size_t daemon =
      std::uniform_int_distribution<std::size_t>(0, fleet.GetSize() - 1)(random);
  const Duration time = milliseconds(std::uniform_int_distribution<int>(100, 12'000)(random));
  switch (std::uniform_int_distribution<int>(0, 9)(random)) {
    case 0:
      fleet.Suspend(daemon, time);
      break;
    case 1:
      fleet.Cut(daemon, time, false);
      break;
    case 2:
      fleet.Cut(daemon, time, true);
      break;
    case 3:
      fleet.Kill(daemon);
      break;
    case 4:
      fleet.Restore(std::min<Duration>(time, seconds(4)));
      break;
    default:
      fleet.WriteVersion();
      break;
  }
}

// Returns whether a daemon served a key that was removed longer ago than the bound.
bool ServesRemovedKey(ProofAging aging, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  ProofFleet fleet(std::uniform_int_distribution<std::size_t>(1, 6)(random), aging, random());
  fleet.SetDelays(milliseconds(100), seconds(8));
  fleet.WriteVersion();
  for (int step = 0; step < 2'000; ++step) {
    if (std::uniform_int_distribution<int>(0, 39)(random) == 0) {
      Disturb(fleet, random);
    }
    fleet.Step();
    for (std::size_t daemon = 0; daemon < fleet.GetSize(); ++daemon) {
      if (fleet.ServesKey(daemon) && fleet.IsKeyGone(daemon)) {
        return true;
      }
    }
  }
  return false;
}

bool FailsForSomeSeed(ProofAging aging) {
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    if (ServesRemovedKey(aging, seed)) {
      return true;
    }
  }
  return false;
}

}  // namespace

Test(table_proof, no_removed_key_is_served_after_the_bound) {
  cr_assert(rc::check("no removed key is served after the bound",
                      [](std::uint64_t seed) { RC_ASSERT(!ServesRemovedKey({}, seed)); }));
}

Test(table_proof, a_clock_that_stops_with_the_process_would_serve_removed_keys) {
  cr_assert(FailsForSomeSeed({.runs_while_suspended = false}));
}

Test(table_proof, counting_from_the_arrival_of_answers_would_serve_removed_keys) {
  cr_assert(FailsForSomeSeed({.counts_from_sending = false}));
}

Test(table_proof, a_restored_store_would_serve_removed_keys_without_a_hold) {
  cr_assert(FailsForSomeSeed({.holds_after_restore = false}));
}

Test(table_proof, is_used_for_less_than_the_bound) {
  TableProof proof = MakeProof();
  cr_assert_not(proof.MayServeKeys(kStart));
  cr_assert(proof.RecordNewest(kStart, 7, 7));
  cr_assert(proof.MayServeKeys(kStart + milliseconds(4500)));
  cr_assert_not(proof.MayServeKeys(kStart + milliseconds(4501)));
  cr_assert_not(proof.GetAge(kStart + milliseconds(4501)).has_value());
  // Without a bound no proof is needed.
  proof.SetBound(Duration{0});
  cr_assert(proof.MayServeKeys(kStart + seconds(60)));
}

Test(table_proof, counts_for_the_version_in_force_only) {
  TableProof proof = MakeProof();
  // The store was restored from an older copy, and another daemon has not got the version yet.
  cr_assert_not(proof.RecordNewest(kStart, 6, 7));
  cr_assert_not(proof.RecordPeerProof(kStart, milliseconds(1), 6, 7));
  // A newer version is not in force yet.
  cr_assert_not(proof.RecordNewest(kStart, 8, 7));
  cr_assert_not(proof.MayServeKeys(kStart));
  cr_assert(proof.RecordPeerProof(kStart, seconds(2), 7, 7));
  cr_assert_eq(proof.GetAge(kStart + seconds(1))->count(), Duration(seconds(3)).count());
  // An older proof changes nothing.
  cr_assert_not(proof.RecordNewest(kStart - seconds(3), 7, 7));
  cr_assert_eq(proof.GetAge(kStart + seconds(1))->count(), Duration(seconds(3)).count());
}

Test(table_proof, daemons_share_their_proofs_so_that_few_ask_the_store) {
  for (const std::size_t size : {1U, 18U, 80U, 900U}) {
    ProofFleet fleet(size, {}, 7);
    fleet.WriteVersion();
    for (int step = 0; step < 400; ++step) {
      fleet.Step();
    }
    const std::uint64_t before = fleet.GetStoreCalls();
    for (int step = 0; step < 1'000; ++step) {
      fleet.Step();
      for (std::size_t daemon = 0; daemon < size; ++daemon) {
        cr_assert(fleet.ServesKey(daemon));
      }
    }
    const double calls = static_cast<double>(fleet.GetStoreCalls() - before) / 20;
    cr_log_info("%zu daemons: %.2f calls a second", size, calls);
    cr_assert_lt(calls, 2.1 + static_cast<double>(size) / 32);
  }
}
