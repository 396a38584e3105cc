// Guards against data races between requests, gossip, submissions and the reading of metrics:
// several threads use the shared state concurrently, as the threads of a daemon do. Also checks
// that no claim key is granted twice.
#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "Core/digest.h"
#include "Daemon/claim_service.h"
#include "Daemon/daemon_clock.h"
#include "Daemon/peer_client.h"
#include "Daemon/rules_state.h"
#include "Daemon/service_table.h"
#include "Daemon/target_connections.h"
#include "Daemon/work_queue.h"
#include "Observe/event_log.h"
#include "Observe/metrics_registry.h"
#include "Rules/limit_rule.h"
#include "Version/route_snapshot.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kRounds = 300;
constexpr std::uint64_t kVersions = 3000;
constexpr int kKeys = 400;

// Uses only one service, because ApplySnapshot distributes several services to threads of oneTBB.
// That library is not instrumented, and ThreadSanitizer then reports false races.
std::string MakeText(std::uint64_t edition) {
  return "# edition " + std::to_string(edition) +
         "\nservice designs slots=9 queue=8  # Ana: designs\n"
         "route lookup path=/designs service=designs idempotent=yes  # Ana: lookups\n"
         "route order path=/orders methods=POST service=designs key=required  # Maria: orders\n";
}

std::vector<MemberRecord> MakeMembers(std::uint64_t incarnation) {
  MemberRecord member;
  member.host = "host-1";
  member.region = "carolinas";
  member.data_centre = "dc-1";
  member.incarnation = incarnation;
  member.state = MemberState::kAlive;
  member.targets = {{"designs", "127.0.0.1:9001", 9, false, 0, incarnation},
                    {"designs", "127.0.0.1:9002", 9, incarnation % 2 == 0, 0, incarnation}};
  return {member};
}

struct State {
  State()
      : services("dc-1", "carolinas", 4),
        metrics(4),
        pool(4, std::chrono::milliseconds(100)),
        peers(this->pool, this->metrics, std::chrono::milliseconds(100)),
        work(3, 64) {
    Settings settings;
    settings.host = "host-1";
    settings.claim_retention_ms = 600000;
    settings.claim_capacity = 20000;
    settings.state_shards = 4;
    this->claims =
        std::move(GetValue(ClaimService::Create(settings, 1, GetNow(), this->peers, this->work,
                                                [](std::string_view) { return std::string(); })));
  }

  RulesState rules;
  ServiceTable services;
  MetricsRegistry metrics;
  TargetConnections pool;
  PeerClient peers;
  WorkQueue work;
  std::unique_ptr<ClaimService> claims;
  std::atomic<int> grants{0};
  std::atomic<int> jobs_done{0};
  std::atomic<int> jobs_added{0};
  std::atomic<bool> went_back{false};
};

void OfferVersions(State& state) {
  for (std::uint64_t number = 1; number <= kVersions; ++number) {
    RulesVersion version;
    version.text = MakeText(number);
    version.stamp = {number, ComputeDigest(version.text)};
    state.rules.Offer(std::move(version));
    const std::vector<MemberRecord> members = MakeMembers(number);
    state.rules.RebuildSnapshot(members);
    state.services.ApplySnapshot(*state.rules.GetSnapshot(), members, GetNow());
  }
}

void ServeRequests(State& state, unsigned seed) {
  std::mt19937_64 random(seed);
  std::uint64_t last = 0;
  for (int i = 0; i < kRounds * 5; ++i) {
    const std::uint64_t number = state.rules.GetStamp().number;
    state.went_back = state.went_back || number < last;
    last = number;
    const auto snapshot = state.rules.GetSnapshot();
    if (snapshot == nullptr || !snapshot->FindRoute("GET", "/designs/1").has_value()) {
      continue;
    }
    const TimePoint now = GetNow();
    const auto choice = state.services.WithService("designs", now, [&](ServiceRuntime& runtime) {
      const TargetChoice chosen = runtime.selector.Select(now, random, {});
      if (chosen.kind == TargetChoiceKind::kTarget) {
        runtime.selector.ReportStart(chosen.address);
      }
      return chosen;
    });
    if (choice.kind == TargetChoiceKind::kTarget) {
      state.services.WithService("designs", now, [&](ServiceRuntime& runtime) {
        runtime.selector.ReportFinish(now, choice.address, TargetOutcome::kOk, Duration{100});
      });
    }
    state.metrics.AddCount("requests_total", "route=\"lookup\"");
    state.metrics.AddLatency("request_seconds", "route=\"lookup\"", Duration{100});
  }
}

void ClaimKeys(State& state, std::uint64_t caller) {
  for (int i = 0; i < kKeys; ++i) {
    ClaimRequest request;
    request.key = "key-" + std::to_string(i);
    request.request_hash = 1;
    request.owner_map_epoch = state.claims->GetEpoch();
    request.attempt_id = caller * kKeys + static_cast<std::uint64_t>(i) + 1;
    request.caller_host = "host-1";
    request.caller_incarnation = 1;
    const auto reply = state.claims->SendClaim(request, std::chrono::seconds(1));
    if (reply.has_value() && reply->decision == ClaimDecision::kGranted) {
      ++state.grants;
      state.claims->Report({request.key, request.attempt_id, ClaimOutcome::kDone, 200, "ok", ""});
    }
  }
}

void ReadEverything(State& state) {
  LimitRule limit;
  limit.name = "cap";
  limit.rate_per_second = 100;
  limit.burst = 10;
  for (int i = 0; i < kRounds; ++i) {
    state.metrics.Format("");
    state.services.DumpServices(GetNow());
    state.services.ExpireQueues(GetNow());
    state.services.TakeEvidence(GetNow(), 4);
    state.services.TryTakeLimit(limit, GetNow());
    state.claims->Tick(GetNow());
    state.claims->RecordMessageFrom("host-2", GetNow());
    if (state.work.Add([&state] { ++state.jobs_done; })) {
      ++state.jobs_added;
    }
  }
}

int Check(bool passed, const char* what) {
  if (!passed) {
    std::fprintf(stderr, "FAILED: %s\n", what);
  }
  return passed ? 0 : 1;
}

}  // namespace

int main() {
  EventLog::Configure("host-1", "error");
  State state;
  ClaimOwnerMap map;
  map.epoch = 1;
  map.hosts = {"host-1"};
  map.incarnations = {1};
  state.claims->AdoptMap(map, GetNow());
  std::vector<std::thread> threads;
  threads.emplace_back([&] { OfferVersions(state); });
  for (unsigned i = 0; i < 2; ++i) {
    threads.emplace_back([&, i] { ServeRequests(state, i); });
    threads.emplace_back([&, i] { ClaimKeys(state, i); });
    threads.emplace_back([&] { ReadEverything(state); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  state.work.Stop();
  int failures = 0;
  failures += Check(state.grants == kKeys, "every key is granted exactly once");
  failures += Check(!state.went_back, "the version never goes back");
  failures += Check(state.rules.GetStamp().number == kVersions, "the last version is in force");
  failures += Check(state.jobs_done == state.jobs_added, "every job that was added has run");
  std::printf("grants %d, jobs %d\n", state.grants.load(), state.jobs_done.load());
  return failures == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}
