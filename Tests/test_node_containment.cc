// Guards against a request that crashes one target after the other while its caller resends it
// through any daemon, and against innocent requests that are refused because of it.

#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Proxy/crash_containment.h"
#include "Proxy/recent_requests.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kCrashing = 77;
constexpr char kService[] = "book";

// Daemons that each have one target beside them and that exchange strikes only in the messages
// about requests.
class ContainedFleet {
 public:
  explicit ContainedFleet(std::size_t size) : daemons(size), targets(size) {
    for (std::size_t i = 0; i < size; ++i) {
      this->daemons[i] = std::make_unique<CrashContainment>();
      this->targets[i] = {"10.0.0." + std::to_string(i) + ":1", 1};
    }
  }

  // Sends a request from one daemon to the target of another one. Returns whether it ran.
  bool Send(std::size_t from, std::size_t to, std::uint64_t fingerprint) {
    CrashContainment& sender = *this->daemons[from];
    CrashContainment& receiver = *this->daemons[to];
    this->now += milliseconds(1);
    if (sender.IsContained(this->now, kService, fingerprint)) {
      return false;
    }
    receiver.Merge(this->now, kService, sender.TakeOutgoing(this->now, kService, fingerprint));
    const QuarantineDecision decision =
        receiver.TryStart(this->now, kService, fingerprint, this->targets[to]);
    const bool ran = decision == QuarantineDecision::kRun;
    const bool crashed = ran && fingerprint == kCrashing;
    if (crashed) {
      receiver.RecordLostConnection(this->now, kService, fingerprint, this->targets[to]);
      receiver.RecordRefusedConnection(this->now, kService, this->targets[to]);
      ++this->targets[to].incarnation;
      ++this->crashes;
    }
    if (ran) {
      receiver.RecordRunEnd(this->now, kService, fingerprint, this->targets[to], !crashed);
    }
    sender.Merge(this->now, kService, receiver.TakeOutgoing(this->now, kService, fingerprint));
    return ran;
  }

  std::vector<std::unique_ptr<CrashContainment>> daemons;
  std::vector<TargetStart> targets;
  TimePoint now{seconds(10)};
  int crashes = 0;
};

RequestTrace MakeTrace(const std::string& id, unsigned status) {
  RequestTrace trace;
  trace.request_id = id;
  trace.status = status;
  return trace;
}

}  // namespace

// Requirement: one request crashes at most three targets in the whole fleet.
Test(containment, a_request_crashes_three_targets_at_most) {
  for (const std::uint64_t seed : {1U, 2U, 3U, 4U, 5U}) {
    std::mt19937_64 random(seed);
    ContainedFleet fleet(18);
    for (int round = 0; round < 3000; ++round) {
      const std::size_t from = random() % 18;
      const std::size_t to = random() % 18;
      // One request in 100 is the crashing one. The strikes travel with the others.
      fleet.Send(from, to, round % 100 == 0 ? kCrashing : 1000 + random() % 500);
    }
    cr_assert_geq(fleet.crashes, 1);
    cr_assert_leq(fleet.crashes, 3, "seed %d: %d targets crashed", static_cast<int>(seed),
                  fleet.crashes);
  }
}

Test(containment, a_restarted_daemon_receives_strikes_with_the_next_refusal) {
  ContainedFleet fleet(3);
  fleet.Send(0, 1, kCrashing);
  fleet.Send(0, 2, kCrashing);
  // Any other request carries the strikes to the daemon of the first target.
  fleet.Send(0, 1, 5);
  const int before = fleet.crashes;
  fleet.daemons[0] = std::make_unique<CrashContainment>();
  cr_assert(!fleet.Send(0, 1, kCrashing));
  cr_assert(fleet.daemons[0]->IsContained(fleet.now, kService, kCrashing));
  cr_assert_eq(fleet.crashes, before);
}

Test(containment, requests_lost_in_the_same_crash_may_run_again) {
  ContainedFleet fleet(4);
  CrashContainment& daemon = *fleet.daemons[1];
  for (std::uint64_t innocent = 1; innocent <= 8; ++innocent) {
    cr_assert(daemon.TryStart(fleet.now, kService, innocent, fleet.targets[1]) ==
              QuarantineDecision::kRun);
    daemon.RecordLostConnection(fleet.now, kService, innocent, fleet.targets[1]);
  }
  daemon.RecordRefusedConnection(fleet.now, kService, fleet.targets[1]);
  for (std::uint64_t innocent = 1; innocent <= 8; ++innocent) {
    daemon.RecordRunEnd(fleet.now, kService, innocent, fleet.targets[1], false);
    fleet.daemons[0]->Merge(fleet.now, kService,
                            daemon.TakeOutgoing(fleet.now, kService, innocent));
    cr_assert(fleet.Send(0, 2, innocent));
  }
}

// Guards against a page that all daemons refuse for ten minutes because targets crashed, by no
// fault of it, while they ran it (review/4). The crashes come one after the other or at the same
// moment, and the strikes reach every daemon.
Test(containment, a_frequent_request_is_served_after_crashes_of_its_targets) {
  constexpr std::uint64_t kPage = 5;
  for (const milliseconds between : {milliseconds(7000), milliseconds(0)}) {
    ContainedFleet fleet(18);
    std::mt19937_64 random(7);
    for (std::size_t i = 0; i < 400; ++i) {
      fleet.Send(random() % 18, random() % 18, kPage);
    }
    for (std::size_t crashed = 1; crashed <= 4; ++crashed) {
      CrashContainment& daemon = *fleet.daemons[crashed];
      daemon.RecordLostConnection(fleet.now, kService, kPage, fleet.targets[crashed]);
      daemon.RecordRefusedConnection(fleet.now, kService, fleet.targets[crashed]);
      ++fleet.targets[crashed].incarnation;
      for (std::size_t i = 0; i < 200 && between > milliseconds(0); ++i) {
        fleet.Send(random() % 18, random() % 18, i % 2 == 0 ? kPage : 1000 + i);
      }
      fleet.now += between;
    }
    for (std::size_t i = 0; i < 2000; ++i) {
      fleet.Send(random() % 18, random() % 18, i % 4 == 0 ? kPage : 1000 + i);
    }
    int served = 0;
    for (std::size_t i = 0; i < 180; ++i) {
      served += fleet.Send(i % 18, random() % 18, kPage) ? 1 : 0;
    }
    cr_assert_eq(served, 180, "%d served, %d ms between crashes", served,
                 static_cast<int>(between.count()));
  }
}

// A connection that is lost while the target still runs does not prove a crash.
Test(containment, a_lost_connection_alone_adds_no_strike) {
  ContainedFleet fleet(2);
  CrashContainment& daemon = *fleet.daemons[1];
  for (int i = 0; i < 5; ++i) {
    daemon.TryStart(fleet.now, kService, 5, fleet.targets[1]);
    daemon.RecordLostConnection(fleet.now, kService, 5, fleet.targets[1]);
    daemon.RecordRunEnd(fleet.now, kService, 5, fleet.targets[1], false);
    fleet.now += seconds(6);
  }
  cr_assert(!daemon.IsContained(fleet.now, kService, 5));
  cr_assert(daemon.TryStart(fleet.now, kService, 5, fleet.targets[1]) == QuarantineDecision::kRun);
}

Test(recent_requests, keeps_the_newest_and_finds_them_by_id) {
  RecentRequests recent;
  for (std::size_t i = 0; i < 10 * RecentRequests::kMaxStored; ++i) {
    recent.Add(MakeTrace("r" + std::to_string(i), 503));
  }
  recent.Add(MakeTrace("again", 503));
  recent.Add(MakeTrace("again", 502));
  const RequestTraceList found = recent.Find("again");
  cr_assert_eq(found.traces.size(), 2);
  cr_assert_eq(found.traces[0].status, 503);
  cr_assert_eq(found.traces[1].status, 502);
  cr_assert(recent.Find("r0").traces.empty());
}
