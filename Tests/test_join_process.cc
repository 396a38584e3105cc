// Guards against a daemon that serves requests before it can know the newest version, and
// against daemons that restart together and all call the store at the same time.
#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <string>
#include <vector>

#include "Membership/join_process.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr TimePoint kStart{};
constexpr Duration kStep = std::chrono::milliseconds(100);

template <typename Action>
std::size_t Count(const std::vector<JoinAction>& actions) {
  return static_cast<std::size_t>(std::count_if(
      actions.begin(), actions.end(),
      [](const JoinAction& action) { return std::holds_alternative<Action>(action); }));
}

// Runs the join process for this time and returns the times at which it read the store's head.
std::vector<TimePoint> RunAndListHeadReads(JoinProcess& join, const std::vector<std::string>& peers,
                                           TimePoint from, Duration time, std::mt19937_64& random) {
  std::vector<TimePoint> reads;
  for (TimePoint now = from; now < from + time; now += kStep) {
    if (Count<JoinReadStoreHead>(join.Tick(peers, now, random)) > 0) {
      reads.push_back(now);
    }
  }
  return reads;
}

}  // namespace

Test(join_process, seeds_other_than_itself_are_asked_before_the_store) {
  std::mt19937_64 random(1);
  JoinProcess join({"own", "a", "b"}, "own", kStart, random);
  const auto actions = join.Tick({}, kStart, random);
  cr_assert_eq(Count<JoinAskPeer>(actions), 2U);
  cr_assert_eq(Count<JoinReadStoreSeeds>(actions) + Count<JoinReadStoreHead>(actions), 0U);
  for (const JoinAction& action : actions) {
    if (const auto* ask = std::get_if<JoinAskPeer>(&action)) {
      cr_assert_neq(ask->address, "own");
    }
  }
  const auto reads = RunAndListHeadReads(join, {}, kStart + kStep, std::chrono::seconds(8), random);
  cr_assert_not(reads.empty());
  cr_assert_geq(reads.front(), kStart + JoinProcess::kStoreDelay);
}

Test(join_process, only_a_majority_of_the_data_centre_makes_it_ready) {
  std::mt19937_64 random(1);
  const std::vector<std::string> peers = {"a", "b", "c", "d"};
  JoinProcess join({"seed"}, "own", kStart, random);
  join.RecordMemberStamp("a");
  join.RecordMemberStamp("b");
  join.RecordMemberStamp("c");
  join.Tick(peers, kStart, random);
  cr_assert_not(join.IsReady(), "no peer has returned its list of members yet");
  JoinProcess half({"seed"}, "own", kStart, random);
  half.HandleMembers();
  half.RecordMemberStamp("a");
  half.RecordMemberStamp("b");
  half.RecordMemberStamp("host-of-another-data-centre");
  half.Tick(peers, kStart, random);
  cr_assert_not(half.IsReady(), "half of the members are not a majority");
  half.RecordMemberStamp("c");
  half.Tick(peers, kStart, random);
  cr_assert(half.IsReady());
  // The daemon stays ready when the members leave.
  half.Tick({}, kStart, random);
  cr_assert(half.IsReady());
}

Test(join_process, response_of_the_store_alone_makes_it_ready) {
  std::mt19937_64 random(1);
  JoinProcess join({}, "own", kStart, random);
  join.Tick({}, kStart, random);
  cr_assert_not(join.IsReady());
  join.HandleStoreHead();
  join.Tick({}, kStart, random);
  cr_assert(join.IsReady());
}

Test(join_process, silent_members_are_probed_until_it_is_ready) {
  std::mt19937_64 random(1);
  JoinProcess join({"seed"}, "own", kStart, random);
  join.HandleMembers();
  join.RecordMemberStamp("a");
  const auto actions = join.Tick({"a", "b", "c"}, kStart, random);
  cr_assert_eq(Count<JoinProbeMembers>(actions), 1U);
  const auto probe = std::find_if(actions.begin(), actions.end(), [](const JoinAction& action) {
    return std::holds_alternative<JoinProbeMembers>(action);
  });
  cr_assert(std::get<JoinProbeMembers>(*probe).hosts == (std::vector<std::string>{"b", "c"}));
}

Test(join_process, unavailable_store_is_asked_with_exponential_backoff) {
  std::mt19937_64 random(1);
  JoinProcess join({"seed"}, "own", kStart, random);
  const auto reads = RunAndListHeadReads(join, {}, kStart, std::chrono::seconds(300), random);
  // The backoff doubles up to 30 s, and half of each step is jitter.
  cr_assert_leq(reads.size(), 5U + 300U / 15U);
  cr_assert_geq(reads.size(), 300U / 30U);
}

Test(join_process, simultaneous_restarts_spread_their_store_reads) {
  constexpr std::size_t kDaemons = 225;
  std::vector<std::size_t> per_second(10, 0);
  for (std::size_t i = 0; i < kDaemons; ++i) {
    std::mt19937_64 random(i + 1);
    JoinProcess join({"seed"}, "own", kStart, random);
    const auto reads = RunAndListHeadReads(join, {}, kStart, std::chrono::seconds(8), random);
    cr_assert_not(reads.empty());
    ++per_second[static_cast<std::size_t>((reads.front() - kStart) / std::chrono::seconds(1))];
  }
  // The jitter is five seconds, so each second gets about a fifth of the reads.
  for (const std::size_t count : per_second) {
    cr_assert_leq(count, kDaemons * 2 / 5);
  }
}

Test(join_process, seed_addresses_from_the_store_are_asked_as_well) {
  std::mt19937_64 random(1);
  JoinProcess join({}, "own", kStart, random);
  cr_assert_eq(Count<JoinAskPeer>(join.Tick({}, kStart, random)), 0U);
  join.HandleStoreSeeds({"own", "a", "a"});
  const auto actions = join.Tick({}, kStart + JoinProcess::kRetryInterval, random);
  cr_assert_eq(Count<JoinAskPeer>(actions), 1U);
}
