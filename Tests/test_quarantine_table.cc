// Guards against three failures: a request crashes one target after the other, a harmless request
// is quarantined although it was in flight in fewer than two crashes, and the table grows without
// limit.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "Quarantine/quarantine_table.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};
constexpr std::uint64_t kCrashing = 1;

// Runs the request on the target, which crashes and then refuses connections.
void Crash(QuarantineTable& table, TimePoint now, std::uint64_t fingerprint,
           std::string_view target) {
  table.Start(fingerprint, target);
  table.RecordLostConnection(now, fingerprint, target, 1);
  table.Finish(now, fingerprint, target, false);
  table.RecordRefusedConnection(now, target);
}

// The view of one daemon of a random load, in which one request crashes every target that it runs
// on.
class MixedLoad {
 public:
  explicit MixedLoad(const QuarantineLimits& limits) : table(limits) {}

  void RunStep(std::uint32_t choice) {
    this->now += milliseconds(choice % 700);
    this->ProveCrashes();
    const std::string target = "target-" + std::to_string(choice % 7);
    const std::uint64_t fingerprint = choice % 5 == 0 ? kCrashing : 2 + choice % 11;
    // The caller of the crashing request resends it only after the previous one has failed.
    const bool is_repeated = fingerprint == kCrashing && this->IsRunning(kCrashing);
    if (choice % 3 == 0) {
      this->EndOne(choice);
    } else if (!is_repeated && !this->crashed.contains(target) &&
               this->table.MayStart(this->now, fingerprint, target) == QuarantineDecision::kRun) {
      this->table.Start(fingerprint, target);
      this->running.emplace_back(fingerprint, target);
      // If the crashing request does not crash the target now, it does so in a later step.
      if (fingerprint == kCrashing && choice % 2 == 0) {
        this->CrashTarget(target);
      }
    }
    this->CheckOtherRequests();
  }

  std::size_t GetCrashCount() const { return this->crash_count; }
  bool HasWrongQuarantine() const { return this->wrong_quarantine; }
  TimePoint GetNow() const { return this->now; }

 private:
  bool IsRunning(std::uint64_t fingerprint) const {
    return std::any_of(this->running.begin(), this->running.end(),
                       [fingerprint](const auto& item) { return item.first == fingerprint; });
  }

  // Proves the crashes that happened at least 2 s ago. A daemon connects to a crashed target again
  // within 3 s.
  void ProveCrashes() {
    std::erase_if(this->crashed, [this](const auto& item) {
      if (this->now - item.second < seconds(2)) {
        return false;
      }
      const std::uint64_t incarnation = ++this->incarnations[item.first];
      if (incarnation % 2 == 0) {
        this->table.RecordRefusedConnection(this->now, item.first);
      } else {
        this->table.RecordIncarnation(this->now, item.first, incarnation);
      }
      return true;
    });
  }

  void EndOne(std::uint32_t choice) {
    if (this->running.empty()) {
      return;
    }
    const auto [fingerprint, target] = this->running[choice % this->running.size()];
    if (fingerprint == kCrashing) {
      this->CrashTarget(target);
      return;
    }
    this->table.Finish(this->now, fingerprint, target, true);
    this->running.erase(this->running.begin() +
                        static_cast<std::ptrdiff_t>(choice % this->running.size()));
  }

  void CrashTarget(const std::string& target) {
    ++this->crash_count;
    this->crashed.emplace(target, this->now);
    const std::uint64_t incarnation = this->incarnations.emplace(target, 1).first->second;
    std::set<std::uint64_t> lost_requests;
    std::erase_if(this->running, [&](const auto& item) {
      if (item.second != target) {
        return false;
      }
      lost_requests.insert(item.first);
      this->table.RecordLostConnection(this->now, item.first, target, incarnation);
      this->table.Finish(this->now, item.first, target, false);
      return true;
    });
    for (const std::uint64_t lost : lost_requests) {
      ++this->shared_crashes[lost];
    }
  }

  void CheckOtherRequests() {
    for (std::uint64_t other = 2; other < 13; ++other) {
      this->wrong_quarantine |=
          this->table.IsQuarantined(this->now, other) && this->shared_crashes[other] < 2;
    }
  }

  QuarantineTable table;
  TimePoint now{};
  std::map<std::string, TimePoint> crashed;
  std::map<std::string, std::uint64_t> incarnations;
  std::vector<std::pair<std::uint64_t, std::string>> running;
  std::map<std::uint64_t, std::size_t> shared_crashes;
  std::size_t crash_count = 0;
  bool wrong_quarantine = false;
};

// Runs random loads that are shorter than a quarantine. Returns the largest number of crashes in
// one load.
std::size_t FindMostCrashes(const QuarantineLimits& limits, bool& other_quarantined) {
  std::size_t most_crashes = 0;
  cr_assert(rc::check("mixed load", [&] {
    MixedLoad load(limits);
    const auto choices = *rc::gen::container<std::vector<std::uint32_t>>(
        400, rc::gen::inRange<std::uint32_t>(0, 1U << 30U));
    for (const std::uint32_t choice : choices) {
      load.RunStep(choice);
    }
    RC_ASSERT(load.GetNow() < kStart + minutes(10));
    most_crashes = std::max(most_crashes, load.GetCrashCount());
    other_quarantined |= load.HasWrongQuarantine();
  }));
  return most_crashes;
}

}  // namespace

Test(quarantine_table, two_targets_quarantine_a_request_for_ten_minutes) {
  QuarantineTable table{QuarantineLimits{}};
  Crash(table, kStart, kCrashing, "t1");
  cr_assert(table.MayStart(kStart, kCrashing, "t2") == QuarantineDecision::kRun);
  Crash(table, kStart, kCrashing, "t1");
  cr_assert_not(table.IsQuarantined(kStart, kCrashing), "one target counts once");
  Crash(table, kStart, kCrashing, "t2");
  cr_assert(table.MayStart(kStart, kCrashing, "t3") == QuarantineDecision::kQuarantined);
  cr_assert(table.IsQuarantined(kStart + minutes(9), kCrashing));
  cr_assert_not(table.IsQuarantined(kStart + minutes(10), kCrashing));
  cr_assert_eq(table.GetEntryCount(), 0);
}

Test(quarantine_table, a_lost_connection_without_proof_is_not_a_strike) {
  QuarantineTable table{QuarantineLimits{}};
  table.RecordLostConnection(kStart, 5, "t1", 1);
  cr_assert_eq(table.RecordIncarnation(kStart, "t1", 1), 0);
  table.RecordRefusedConnection(kStart + seconds(6), "t1");
  cr_assert_eq(table.GetEntryCount(), 0);
  table.RecordLostConnection(kStart + seconds(7), 5, "t1", 1);
  table.RecordIncarnation(kStart + seconds(8), "t1", 2);
  cr_assert_eq(table.GetEntryCount(), 1);
}

Test(quarantine_table, a_resend_waits_while_lost_connections_are_not_proved) {
  QuarantineTable table{QuarantineLimits{}};
  table.RecordLostConnection(kStart, kCrashing, "t1", 1);
  table.RecordLostConnection(kStart, kCrashing, "t2", 1);
  cr_assert(table.MayStart(kStart, kCrashing, "t3") == QuarantineDecision::kWait);
  cr_assert(table.MayStart(kStart + seconds(5), kCrashing, "t3") == QuarantineDecision::kRun);
}

Test(quarantine_table, a_struck_request_does_not_start_beside_another) {
  QuarantineTable table{QuarantineLimits{}};
  Crash(table, kStart, 1, "t1");
  Crash(table, kStart, 2, "t1");
  table.Start(1, "t2");
  cr_assert(table.MayStart(kStart, 2, "t2") == QuarantineDecision::kWait);
  cr_assert(table.MayStart(kStart, 2, "t3") == QuarantineDecision::kRun);
  cr_assert(table.MayStart(kStart, 3, "t2") == QuarantineDecision::kRun, "it has no strike");
  cr_assert(table.MayStart(kStart, 1, "t3") == QuarantineDecision::kWait, "it is already running");
  table.Finish(kStart, 1, "t2", true);
  table.Start(1, "t2");
  cr_assert(table.MayStart(kStart, 1, "t3") == QuarantineDecision::kRun,
            "a run of it got a response");
}

// Guards against a frequent request that is refused for ten minutes because it was in flight when
// two targets crashed by no fault of it, although it was run all the time (review/4).
Test(quarantine_table, responses_excuse_a_request_that_was_in_flight_in_crashes) {
  QuarantineTable table{QuarantineLimits{}};
  Crash(table, kStart, 1, "t1");
  table.Start(1, "t2");
  table.Finish(kStart + seconds(1), 1, "t2", true);
  Crash(table, kStart + seconds(7), 1, "t2");
  cr_assert_not(table.IsQuarantined(kStart + seconds(7), 1));
  cr_assert(table.MayStart(kStart + seconds(7), 1, "t3") == QuarantineDecision::kRun);
  Crash(table, kStart + seconds(8), 1, "t3");
  cr_assert(table.IsQuarantined(kStart + seconds(8), 1), "it got no response since");
}

Test(quarantine_table, a_response_excuses_crashes_in_the_same_moment) {
  QuarantineTable table{QuarantineLimits{}};
  table.Start(1, "t9");
  table.Finish(kStart, 1, "t9", true);
  for (const std::string target : {"t1", "t2", "t3"}) {
    Crash(table, kStart + milliseconds(100), 1, target);
  }
  cr_assert_not(table.IsQuarantined(kStart + milliseconds(100), 1));
  // Crashes long after the last response count.
  Crash(table, kStart + seconds(60), 1, "t4");
  Crash(table, kStart + seconds(60), 1, "t5");
  cr_assert(table.IsQuarantined(kStart + seconds(60), 1));
}

Test(quarantine_table, a_strike_that_arrives_after_the_response_is_excused_at_any_delay) {
  QuarantineTable table{QuarantineLimits{}};
  const QuarantineEvidence response{1, "t9", 0, true, 0};
  table.MergeEvidence(kStart, {&response, 1});
  // The crashes were two seconds after the response, and their strikes arrive a minute later.
  for (const std::string target : {"t1", "t2"}) {
    const QuarantineEvidence late{1, target, 1, false, 58'000};
    table.MergeEvidence(kStart + seconds(60), {&late, 1});
  }
  cr_assert_not(table.IsQuarantined(kStart + seconds(60), 1));
}

Test(quarantine_table, a_daemon_that_has_excused_a_strike_sends_the_response_to_its_sender) {
  QuarantineTable quiet{QuarantineLimits{}};
  QuarantineTable busy{QuarantineLimits{}};
  Crash(quiet, kStart, 1, "t1");
  Crash(quiet, kStart, 1, "t2");
  cr_assert(quiet.IsQuarantined(kStart, 1));
  busy.Start(1, "t9");
  busy.Finish(kStart + seconds(1), 1, "t9", true);
  busy.MergeEvidence(kStart + seconds(1), quiet.TakeEvidence(kStart + seconds(1), 4));
  quiet.MergeEvidence(kStart + seconds(1), busy.TakeEvidence(kStart + seconds(1), 4));
  cr_assert_not(quiet.IsQuarantined(kStart + seconds(1), 1));
  cr_assert(quiet.MayStart(kStart + seconds(1), 1, "t3") == QuarantineDecision::kRun);
}

Test(quarantine_table, each_strike_is_sent_a_limited_number_of_times) {
  QuarantineTable first{QuarantineLimits{}};
  QuarantineTable second{QuarantineLimits{}};
  Crash(first, kStart, 1, "t1");
  const std::vector<QuarantineEvidence> strikes = first.TakeEvidence(kStart, 4);
  cr_assert_eq(strikes.size(), 1);
  cr_assert_eq(second.MergeEvidence(kStart, strikes), 0);
  cr_assert_eq(second.MergeEvidence(kStart, strikes), 0, "a repeated strike counts once");
  cr_assert_eq(second.GetOutgoingCount(), 1);
  for (std::uint32_t i = 1; i < QuarantineLimits().sends_per_evidence; ++i) {
    cr_assert_eq(first.TakeEvidence(kStart, 4).size(), 1);
  }
  cr_assert(first.TakeEvidence(kStart, 4).empty());
  Crash(second, kStart, 1, "t2");
  cr_assert_eq(first.MergeEvidence(kStart, second.TakeEvidence(kStart, 4)), 1);
}

Test(quarantine_table, a_crashing_request_crashes_two_targets_and_no_other_request_is_quarantined) {
  bool other_quarantined = false;
  cr_assert_eq(FindMostCrashes(QuarantineLimits{}, other_quarantined), 2);
  cr_assert_not(other_quarantined);
}

Test(quarantine_table, the_random_load_detects_limits_that_allow_a_third_crash) {
  bool ignored = false;
  QuarantineLimits third_strike;
  third_strike.strike_limit = 3;
  cr_assert_gt(FindMostCrashes(third_strike, ignored), 2);
  QuarantineLimits no_proof_window;
  no_proof_window.proof_window = Duration::zero();
  cr_assert_gt(FindMostCrashes(no_proof_window, ignored), 2);
}

Test(quarantine_table, size_is_limited_and_the_least_recently_struck_entry_is_removed_first) {
  QuarantineLimits limits;
  QuarantineTable table{limits};
  for (std::uint64_t i = 1; i <= 3 * limits.entry_capacity; ++i) {
    const QuarantineEvidence strike{i, "t1", 1};
    table.MergeEvidence(kStart, {&strike, 1});
    table.RecordLostConnection(kStart, i, "t2", 1);
  }
  cr_assert_eq(table.GetEntryCount(), limits.entry_capacity);
  cr_assert_eq(table.GetSuspicionCount(), limits.suspicion_capacity);
  cr_assert_eq(table.GetOutgoingCount(), limits.entry_capacity);
  const QuarantineEvidence oldest{1, "t3", 1};
  const QuarantineEvidence newest{3 * limits.entry_capacity, "t3", 1};
  cr_assert_eq(table.MergeEvidence(kStart, {&oldest, 1}), 0);
  cr_assert_eq(table.MergeEvidence(kStart, {&newest, 1}), 1);
}
