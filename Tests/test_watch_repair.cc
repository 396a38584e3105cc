// Guards against a store that stays older than the daemons after it lost state, accepted versions
// that a fork removes without a record, and retries that are too frequent.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <memory>
#include <string>
#include <vector>

#include "Core/digest.h"
#include "Fakes/fake_store.h"
#include "Version/head_records.h"
#include "Version/version_order.h"
#include "Watch/store_repair.h"
#include "rules_codec.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

static constexpr TimePoint kStart{};

// A daemon that holds a version and repairs the store.
struct RepairingDaemon {
  StoredHead ReadHead() {
    const StoreEntry entry = store.Peek("head", now);
    StoredHead stored{std::nullopt, entry.revision};
    if (entry.revision != 0) {
      cr_assert(Decode(entry.value, stored.head.emplace()));
    }
    return stored;
  }

  // Writes a version to the store as a submission does.
  std::shared_ptr<const RulesVersion> Accept(const std::string& text) {
    const StoredHead before = ReadHead();
    RulesVersion version;
    version.parent = before.head ? before.head->stamp : VersionStamp{};
    version.stamp = {version.parent.number + 1, ComputeDigest(text)};
    version.submission_id = "id of " + text;
    version.text = text;
    RulesHead head{version.stamp, version.parent, version.submission_id, "", 0, {}, {}};
    const std::vector<SubmissionRecord> own = {{version.submission_id, version.stamp.number}};
    head.recent_submissions =
        MergeRecords(own, before.head ? before.head->recent_submissions : own, 100);
    store.Swap({"body/" + version.stamp.digest, text, 0, 0}, now);
    store.Swap({"head", Encode(head), before.revision, 0}, now);
    return std::make_shared<const RulesVersion>(version);
  }

  // Passes the current head and performs all actions until the repair ends.
  RepairAction Run() {
    RepairAction action = repair.Handle(RepairHeadRead{ReadHead()}, held, now, random);
    for (int steps = 0; steps < 1000; ++steps) {
      RepairEvent event = RepairTimePassed{};
      if (std::holds_alternative<RepairNothing>(action) ||
          std::holds_alternative<RepairFetch>(action)) {
        return action;
      }
      if (const auto* wait = std::get_if<RepairWaitUntil>(&action)) {
        now = std::max(now, wait->time);
        ++waits;
      } else {
        event = Perform(action);
      }
      action = repair.Handle(event, held, now, random);
    }
    cr_assert_fail("the repair did not end within 1000 steps");
    return action;
  }

  RepairEvent Perform(const RepairAction& action) {
    if (std::holds_alternative<RepairReadHead>(action)) {
      return store.Get({"head"}, now) ? RepairEvent(RepairHeadRead{ReadHead()})
                                      : RepairCallFailed{};
    }
    std::optional<StoreSwapReply> reply;
    if (const auto* body = std::get_if<RepairWriteBody>(&action)) {
      reply = store.Swap({"body/" + body->version->stamp.digest, body->version->text, 0, 0}, now);
      return reply ? RepairEvent(RepairKeyWritten{}) : RepairCallFailed{};
    }
    if (const auto* kept = std::get_if<RepairRecordDisplaced>(&action)) {
      cr_assert_neq(store.Peek("body/" + kept->head.stamp.digest, now).revision, 0);
      reply = store.Swap({"displaced/" + kept->head.stamp.digest, "", 0, 0}, now);
      return reply ? RepairEvent(RepairKeyWritten{}) : RepairCallFailed{};
    }
    const auto& swap = std::get<RepairSwapHead>(action);
    reply = store.Swap({"head", Encode(swap.head), swap.expected_revision, 0}, now);
    return reply ? RepairEvent(RepairSwapReplied{reply->succeeded, ReadHead()})
                 : RepairCallFailed{};
  }

  bool IsDisplaced(const RulesVersion& version) {
    return store.Peek("displaced/" + version.stamp.digest, now).revision != 0;
  }

  FakeStore store;
  StoreRepair repair{std::chrono::milliseconds(500), std::chrono::seconds(30)};
  std::shared_ptr<const RulesVersion> held;
  std::mt19937_64 random{9};
  TimePoint now = kStart;
  int waits = 0;
};

Test(watch_repair, makes_no_call_when_the_store_is_not_older) {
  RepairingDaemon daemon;
  cr_assert(std::holds_alternative<RepairNothing>(daemon.Run()));
  daemon.held = daemon.Accept("a");
  cr_assert(std::holds_alternative<RepairNothing>(daemon.Run()));
  const auto newer = daemon.Accept("b");
  const std::uint64_t swaps = daemon.store.GetCounts().swaps;
  const RepairAction action = daemon.Run();
  cr_assert(std::get<RepairFetch>(action).head.stamp == newer->stamp);
  cr_assert_eq(daemon.store.GetCounts().swaps, swaps);
}

Test(watch_repair, writes_the_held_version_back_with_the_known_records) {
  for (const bool all_lost : {false, true}) {
    RepairingDaemon daemon;
    if (!all_lost) {
      daemon.Accept("a");
      daemon.store.SaveState();
    }
    daemon.Accept("b");
    daemon.held = daemon.Accept("c");
    daemon.Run();
    daemon.store.RestoreSavedState();
    // The calls take effect, but their responses are lost.
    daemon.store.LoseSwapResponses(2);
    cr_assert(std::holds_alternative<RepairNothing>(daemon.Run()));
    const RulesHead head = *daemon.ReadHead().head;
    cr_assert(head.stamp == daemon.held->stamp);
    cr_assert(FindSubmission(head.recent_submissions, "id of b") != nullptr);
    cr_assert_neq(daemon.store.Peek("body/" + head.stamp.digest, daemon.now).revision, 0);
  }
}

// After the loss of state the store accepts other versions. The version with the highest stamp
// stays in force, and every other accepted version that the daemon knows of is recorded as
// displaced.
Test(watch_repair, fork_records_the_displaced_version) {
  int kept = 0;
  cr_assert(rc::check([&] {
    RepairingDaemon daemon;
    daemon.Accept("base");
    daemon.store.SaveState();
    const int lost = *rc::gen::inRange(1, 4);
    const int added = *rc::gen::inRange(1, 4);
    const bool watched = *rc::gen::arbitrary<bool>();
    for (int i = 0; i < lost; ++i) {
      daemon.held = daemon.Accept("lost " + std::to_string(*rc::gen::arbitrary<int>()));
      if (watched) {
        daemon.Run();
      }
    }
    daemon.store.RestoreSavedState();
    std::shared_ptr<const RulesVersion> other;
    for (int i = 0; i < added; ++i) {
      other = daemon.Accept("added " + std::to_string(*rc::gen::arbitrary<int>()));
    }
    daemon.store.LoseSwapResponses(static_cast<std::uint32_t>(*rc::gen::inRange(0, 4)));
    const RepairAction action = daemon.Run();
    const VersionStamp stored = daemon.ReadHead().head->stamp;
    if (IsNewer(daemon.held->stamp, other->stamp)) {
      RC_ASSERT(std::holds_alternative<RepairNothing>(action));
      RC_ASSERT(stored == daemon.held->stamp);
      // A daemon that has read no earlier head cannot see the fork across a gap of two or more
      // versions.
      RC_ASSERT(daemon.IsDisplaced(*other) || (!watched && lost > added + 1));
      kept += daemon.IsDisplaced(*other);
    } else {
      RC_ASSERT(stored == other->stamp);
      RC_ASSERT(std::get<RepairFetch>(action).head.stamp == other->stamp);
      RC_ASSERT(daemon.IsDisplaced(*daemon.held));
      ++kept;
    }
  }));
  cr_assert_gt(kept, 0);
}

Test(watch_repair, calls_during_an_outage_are_retried_with_growing_waits) {
  RepairingDaemon daemon;
  daemon.held = daemon.Accept("a");
  daemon.store.RestoreSavedState();
  daemon.store.SetDown(true);
  RepairAction action =
      daemon.repair.Handle(RepairHeadRead{}, daemon.held, daemon.now, daemon.random);
  int calls = 0;
  while (daemon.now < kStart + std::chrono::minutes(10)) {
    if (const auto* wait = std::get_if<RepairWaitUntil>(&action)) {
      daemon.now = wait->time;
      action = daemon.repair.Handle(RepairTimePassed{}, daemon.held, daemon.now, daemon.random);
    } else {
      ++calls;
      action = daemon.repair.Handle(daemon.Perform(action), daemon.held, daemon.now, daemon.random);
    }
  }
  cr_log_info("calls in 10 min of outage: %d", calls);
  // With full jitter a limit of 30 s gives an average wait of 15 s, which is 40 calls in 10 min. 7
  // more calls are made before the limit is reached.
  cr_assert_leq(calls, 2 * 47);
}

Test(watch_backoff, waits_are_uniform_below_a_limit_that_doubles) {
  std::mt19937_64 random(2);
  WatchBackoff backoff(std::chrono::milliseconds(100), std::chrono::seconds(1));
  Duration limit = std::chrono::milliseconds(100);
  Duration total{};
  for (int i = 0; i < 1000; ++i) {
    const Duration wait = backoff.GetNext(random);
    cr_assert(wait >= Duration::zero() && wait <= limit);
    limit = std::min<Duration>(limit * 2, std::chrono::seconds(1));
    total += wait;
  }
  cr_assert(total > std::chrono::seconds(400) && total < std::chrono::seconds(600));
  backoff.Reset();
  cr_assert(backoff.GetNext(random) <= std::chrono::milliseconds(100));
}
