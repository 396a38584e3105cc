// Guards the parts of the quotas against credit that is granted or spent twice, kept beyond its
// end, or lost without need.

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Quota/credit_bucket.h"
#include "Quota/credit_grants.h"
#include "Quota/credit_holder.h"
#include "Quota/grant_fence.h"
#include "Quota/granter_history.h"
#include "Quota/granter_list.h"

// Criterion defines macros that break headers of Boost.Intrusive, so it comes last.
#include <criterion/criterion.h>

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const TimePoint kStart{seconds(100)};

QuotaAsk MakeAsk(std::uint64_t holder, std::uint64_t serial, std::uint32_t wanted,
                 std::uint32_t held = 0) {
  QuotaAsk ask;
  ask.workspace = "w";
  ask.holder = holder;
  ask.serial = serial;
  ask.received = serial - 1;
  ask.held = held;
  ask.wanted = wanted;
  return ask;
}

QuotaReply MakeGrant(std::uint64_t serial, std::uint32_t granted) {
  return {serial, QuotaStatus::kGranted, granted, 0};
}

}  // namespace

Test(credit_bucket, credit_that_is_held_takes_room_in_the_bucket) {
  CreditBucket bucket(kStart, {10, 8});
  TimePoint now = kStart + seconds(5);
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 1, 20)).granted, 8);
  // Nothing of it is spent yet, so the bucket does not refill.
  now += milliseconds(1000);
  cr_assert_eq(bucket.Answer(now, MakeAsk(2, 1, 20)).granted, 0);
  // The first holder has spent five.
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 2, 0, 3)).granted, 0);
  now += milliseconds(1000);
  cr_assert_eq(bucket.Answer(now, MakeAsk(2, 2, 20)).granted, 5);
}

Test(credit_bucket, credit_for_waiting_requests_is_spent_at_once) {
  CreditBucket bucket(kStart, {10, 8});
  QuotaAsk ask = MakeAsk(1, 1, 8);
  ask.waiting = 8;
  cr_assert_eq(bucket.Answer(kStart + seconds(5), ask).granted, 8);
  cr_assert_eq(bucket.Answer(kStart + milliseconds(5500), MakeAsk(2, 1, 20)).granted, 8 - 8 + 5);
}

Test(credit_bucket, an_ask_is_granted_once) {
  CreditBucket bucket(kStart, {10, 8});
  const TimePoint now = kStart + seconds(5);
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 7, 3)).granted, 3);
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 7, 3)).granted, 0);
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 6, 3)).granted, 0);
  cr_assert_eq(bucket.GetAvailable(now), 5);
}

Test(credit_bucket, credit_of_a_lost_reply_is_granted_again) {
  CreditBucket bucket(kStart, {10, 8});
  const TimePoint now = kStart + seconds(5);
  cr_assert_eq(bucket.Answer(now, MakeAsk(1, 1, 8)).granted, 8);
  QuotaAsk again = MakeAsk(1, 2, 8);
  again.received = 0;
  cr_assert_eq(bucket.Answer(now + milliseconds(10), again).granted, 8);
}

Test(credit_bucket, a_refusal_tells_when_there_is_credit) {
  CreditBucket bucket(kStart, {4, 2});
  const TimePoint now = kStart + seconds(5);
  QuotaAsk first = MakeAsk(1, 1, 2);
  first.waiting = 2;
  cr_assert_eq(bucket.Answer(now, first).granted, 2);
  const QuotaReply refused = bucket.Answer(now + milliseconds(100), MakeAsk(2, 1, 1));
  cr_assert(refused.status == QuotaStatus::kUsedUp);
  cr_assert_geq(refused.wait_ms, 149U);
  const TimePoint later = now + milliseconds(101 + refused.wait_ms);
  cr_assert_eq(bucket.Answer(later, MakeAsk(2, 2, 1)).granted, 1);
}

Test(credit_bucket, a_lower_limit_takes_the_credit_above_it) {
  CreditBucket bucket(kStart, {100, 100});
  const TimePoint now = kStart + seconds(5);
  bucket.SetLimit(now, {10, 10});
  cr_assert_eq(bucket.GetAvailable(now), 10);
  // A higher limit fills the bucket at its rate, not at once.
  bucket.SetLimit(now, {100, 100});
  cr_assert_eq(bucket.GetAvailable(now), 10);
}

Test(credit_grants, the_newer_limit_counts) {
  CreditGrants grants;
  const QuotaBound bound{seconds(5), 0, 0};
  QuotaAsk ask = MakeAsk(1, 1, 100);
  ask.table_version = 3;
  ask.rate_per_s = 10;
  ask.burst = 20;
  const QuotaLimit older{1000, 1000, 2};
  const QuotaReply reply = grants.Answer(kStart + seconds(9), kStart, ask, older, bound);
  cr_assert_eq(reply.granted, 20);
}

// Guards against a bucket of a share that has gone to another daemon while an ask was handled.
Test(credit_grants, asks_that_were_checked_against_an_older_list_are_known) {
  CreditGrants grants;
  const GranterList older(kStart, "h1", {});
  const GranterList newer(kStart + milliseconds(200), "h1", {});
  grants.DropOthers(older);
  cr_assert(grants.Follows(older) && grants.Follows(newer));
  grants.DropOthers(newer);
  cr_assert(!grants.Follows(older) && grants.Follows(newer));
}

Test(credit_holder, requests_after_the_first_do_not_wait) {
  CreditHolder holder(1, 0);
  const ShareLimit limit{100, 100};
  std::vector<CreditEnd> ends;
  TimePoint now = kStart;
  const CreditTake first = holder.Take(now, limit, 1);
  cr_assert(first.outcome == CreditOutcome::kWaiting && first.starts_asks);
  std::optional<QuotaAsk> ask = holder.MakeAsk(now, ends);
  cr_assert(ask.has_value() && ask->waiting == 1);
  now += milliseconds(5);
  const QuotaReply reply = MakeGrant(ask->serial, 5);
  holder.HandleReply(now, &reply, ends);
  cr_assert(ends.size() == 1 && ends[0].take.outcome == CreditOutcome::kTaken);
  cr_assert_eq(holder.CountHeld(now), 4);
  cr_assert(holder.Take(now, limit, 2).outcome == CreditOutcome::kTaken);
}

Test(credit_holder, credit_ends) {
  CreditHolder holder(1, 0);
  const ShareLimit limit{100, 100};
  std::vector<CreditEnd> ends;
  holder.Take(kStart, limit, 1);
  const std::optional<QuotaAsk> ask = holder.MakeAsk(kStart, ends);
  const QuotaReply reply = MakeGrant(ask->serial, 5);
  holder.HandleReply(kStart + milliseconds(100), &reply, ends);
  cr_assert(!holder.MakeAsk(kStart + milliseconds(100), ends).has_value());
  // Counted from when the ask was sent.
  cr_assert_eq(holder.CountHeld(kStart + kCreditTime - milliseconds(1)), 4);
  cr_assert(holder.Take(kStart + kCreditTime, limit, 2).outcome == CreditOutcome::kWaiting);
}

// The granting daemon counts credit for waiting requests as spent when it grants it.
Test(credit_holder, credit_for_a_request_that_left_is_not_kept) {
  CreditHolder holder(1, 0);
  std::vector<CreditEnd> ends;
  holder.Take(kStart, {100, 100}, 1);
  const std::optional<QuotaAsk> ask = holder.MakeAsk(kStart, ends);
  cr_assert(holder.Leave(1));
  const QuotaReply reply = MakeGrant(ask->serial, 1);
  holder.HandleReply(kStart + milliseconds(100), &reply, ends);
  cr_assert(ends.empty());
  cr_assert_eq(holder.CountHeld(kStart + milliseconds(100)), 0);
}

Test(credit_holder, a_late_or_foreign_reply_is_no_credit) {
  for (const bool late : {false, true}) {
    CreditHolder holder(1, 0);
    std::vector<CreditEnd> ends;
    holder.Take(kStart, {100, 100}, 1);
    const std::optional<QuotaAsk> ask = holder.MakeAsk(kStart, ends);
    const QuotaReply reply = MakeGrant(late ? ask->serial : ask->serial - 1, 5);
    const TimePoint now = kStart + (late ? kAskLimit : milliseconds(10));
    holder.HandleReply(now, &reply, ends);
    cr_assert(!holder.MakeAsk(now, ends).has_value());
    cr_assert(ends.size() == 1 && ends[0].take.outcome == CreditOutcome::kUnknown);
    cr_assert_eq(holder.CountHeld(now), 0);
  }
}

Test(credit_holder, beyond_the_quota_requests_are_refused_at_once_until_a_share_has_credit) {
  CreditHolder holder(2, 0);
  const ShareLimit limit{100, 100};
  std::vector<CreditEnd> ends;
  holder.Take(kStart, limit, 1);
  for (int i = 0; i < 2; ++i) {
    const std::optional<QuotaAsk> ask = holder.MakeAsk(kStart, ends);
    const QuotaReply reply{ask->serial, QuotaStatus::kUsedUp, 0, 100U + i};
    holder.HandleReply(kStart, &reply, ends);
  }
  cr_assert(!holder.MakeAsk(kStart, ends).has_value());
  cr_assert(ends.size() == 1 && ends[0].take.outcome == CreditOutcome::kBeyondQuota);
  const CreditTake refused = holder.Take(kStart + milliseconds(40), limit, 2);
  cr_assert(refused.outcome == CreditOutcome::kBeyondQuota && !refused.starts_asks);
  cr_assert(refused.wait == milliseconds(60));
  cr_assert(holder.Take(kStart + milliseconds(100), limit, 3).outcome == CreditOutcome::kWaiting);
}

Test(credit_holder, a_share_that_cannot_be_asked_is_replaced_by_another) {
  CreditHolder holder(2, 0);
  std::vector<CreditEnd> ends;
  holder.Take(kStart, {100, 100}, 1);
  const std::optional<QuotaAsk> lost = holder.MakeAsk(kStart, ends);
  holder.HandleReply(kStart + kAskLimit, nullptr, ends);
  const std::optional<QuotaAsk> next = holder.MakeAsk(kStart + kAskLimit, ends);
  cr_assert(next.has_value() && next->share != lost->share);
  const QuotaReply reply = MakeGrant(next->serial, 1);
  holder.HandleReply(kStart + kAskLimit, &reply, ends);
  cr_assert(ends.size() == 1 && ends[0].take.outcome == CreditOutcome::kTaken);
}

Test(granter_history, a_share_that_stays_is_own_since_the_oldest_list_with_it) {
  const auto make_list = [](TimePoint start, const std::vector<std::string>& names) {
    std::vector<HostRecord> hosts(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
      hosts[i].host = names[i];
      hosts[i].peer_address = names[i];
    }
    return std::make_shared<const GranterList>(start, "h1", hosts);
  };
  // A share of h1 that h2 takes over when it is listed.
  std::uint32_t share = 0;
  while (make_list(kStart, {"h1", "h2"})->IsOwn("w", share) ||
         !make_list(kStart, {"h1", "h3"})->IsOwn("w", share)) {
    ++share;
  }
  GranterHistory history(GranterHistory(), make_list(kStart, {"h1"}));
  history = GranterHistory(history, make_list(kStart + seconds(1), {"h1", "h3"}));
  cr_assert(history.FindOwnSince("w", share, kStart) == kStart);
  history = GranterHistory(history, make_list(kStart + seconds(2), {"h1", "h2"}));
  history = GranterHistory(history, make_list(kStart + seconds(3), {"h1"}));
  history = GranterHistory(history, make_list(kStart + seconds(4), {"h1", "h3"}));
  cr_assert(history.FindOwnSince("w", share, kStart) == kStart + seconds(3));
  cr_assert(history.FindOwnSince("w", share, kStart + seconds(4)) == kStart + seconds(4));
}

// Guards against seconds without credit after many daemons were killed at once: a daemon that
// starts again while its host is still listed need not wait.
Test(grant_fence, a_restarted_daemon_that_is_still_listed_grants_at_once) {
  GrantFence fence;
  fence.RecordEarlierProcess(kStart);
  cr_assert(!fence.MayGrant(kStart));
  const TimePoint renewed = kStart + seconds(1);
  cr_assert(fence.RecordRenewal(renewed, renewed, 7, seconds(10)));
  cr_assert(fence.MayGrant(renewed));

  // The lease of the earlier process may have ended before the new one began.
  GrantFence late;
  late.RecordEarlierProcess(kStart);
  const TimePoint too_late = kStart + HostDirectory::kRemovalDelay;
  cr_assert(!late.RecordRenewal(too_late, too_late, 7, seconds(10)));
  cr_assert(!late.MayGrant(too_late));
}

Test(grant_fence, grants_after_it_has_settled_while_in_touch) {
  GrantFence fence;
  cr_assert(!fence.MayGrant(kStart));
  cr_assert(!fence.RecordRenewal(kStart, kStart, 1, seconds(10)));
  const TimePoint settled = kStart + GrantFence::kSettleTime;
  const TimePoint sent = settled - seconds(1);
  cr_assert(fence.RecordRenewal(sent, settled - milliseconds(900), 1, seconds(10)));
  cr_assert(!fence.MayGrant(settled - milliseconds(1)));
  cr_assert(fence.MayGrant(settled));
  // Counted from when the call was sent.
  cr_assert(!fence.MayGrant(sent + GrantFence::kContactTime));
  // The lease may be shorter.
  cr_assert(fence.RecordRenewal(settled, settled, 1, seconds(2)));
  cr_assert(!fence.MayGrant(settled + seconds(2)));
  fence.RecordRenewal(settled, settled, 1, seconds(10));
  fence.RecordEnd();
  cr_assert(!fence.MayGrant(settled));
}

Test(grant_fence, says_that_it_grants_only_under_a_lease_that_is_confirmed) {
  GrantFence fence;
  cr_assert(!fence.HasSettled(kStart, 0));
  fence.RecordRenewal(kStart, kStart, 7, seconds(10));
  const TimePoint settled = kStart + GrantFence::kSettleTime;
  cr_assert(!fence.HasSettled(settled - milliseconds(1), 7));
  cr_assert(fence.HasSettled(settled, 7));
  // The store has not confirmed this lease yet, and other daemons may have dropped the host.
  cr_assert(!fence.HasSettled(settled, 8));
  fence.RecordRenewal(settled, settled, 8, seconds(10));
  cr_assert(!fence.HasSettled(settled, 8));
}

// A store that was restored from a copy may give out the number of the ended lease again.
Test(grant_fence, a_lease_with_the_number_of_an_ended_one_is_a_new_one) {
  GrantFence fence;
  fence.RecordRenewal(kStart, kStart, 7, seconds(10));
  const TimePoint settled = kStart + GrantFence::kSettleTime;
  fence.RecordRenewal(settled, settled, 7, seconds(10));
  cr_assert(fence.MayGrant(settled));
  fence.RecordEnd();
  const TimePoint late = settled + HostDirectory::kRemovalDelay;
  cr_assert(!fence.RecordRenewal(late, late, 7, seconds(10)));
  cr_assert(!fence.MayGrant(late));
}

Test(grant_fence, settles_again_after_others_may_have_dropped_this_daemon) {
  GrantFence fence;
  fence.RecordRenewal(kStart, kStart, 1, seconds(4));
  const TimePoint soon = kStart + milliseconds(1500);
  cr_assert(fence.RecordRenewal(soon, soon, 2, seconds(4)));
  const TimePoint late = soon + seconds(4);
  cr_assert(!fence.RecordRenewal(late, late, 3, seconds(4)));
  cr_assert(!fence.MayGrant(late + milliseconds(1)));
}
