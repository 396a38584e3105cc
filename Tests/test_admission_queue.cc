// Guards against requests that are never decided on or decided on twice, too many running or
// waiting requests, a wrong order of the queue, and internal checks that find no slot.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <set>
#include <vector>

#include "Admission/admission_limiter.h"
#include "Admission/admission_queue.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kStart{};
constexpr TimePoint kLater{seconds(10)};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

}  // namespace

Test(admission_queue, orders_by_priority_then_deadline) {
  AdmissionQueue<> queue(16);
  queue.SetSlots(kStart, 1);
  cr_assert(queue.Offer(kStart, 1, RequestPriority::kNormal, kLater) ==
            AdmissionVerdict::kAdmitted);
  queue.Offer(kStart, 2, RequestPriority::kLow, At(5000));
  queue.Offer(kStart, 3, RequestPriority::kNormal, At(9000));
  queue.Offer(kStart, 4, RequestPriority::kNormal, At(8000));
  queue.Offer(kStart, 5, RequestPriority::kInternal, At(9500));
  std::vector<RequestId> order;
  for (RequestId done = 1; order.size() < 4; done = order.back()) {
    const AdmissionRelease release = queue.Finish(At(1), done);
    cr_assert_eq(release.admitted.size(), 1);
    order.push_back(release.admitted[0]);
  }
  cr_assert(order == std::vector<RequestId>({5, 4, 3, 2}));
}

Test(admission_queue, starts_the_newest_request_first_while_more_than_half_full) {
  AdmissionQueue<ReserveShare, OrderNewestUnderOverload> queue(6);
  queue.SetSlots(kStart, 1);
  for (RequestId id = 0; id < 5; ++id) {
    queue.Offer(kStart, id, RequestPriority::kNormal, At(1000 + static_cast<int>(id)));
  }
  cr_assert(queue.Finish(At(1), 0).admitted == std::vector<RequestId>({4}));
  cr_assert(queue.Finish(At(2), 4).admitted == std::vector<RequestId>({1}));
}

Test(admission_queue, refuses_with_a_reason) {
  AdmissionQueue<> queue(4);
  cr_assert(queue.Offer(kStart, 1, RequestPriority::kNormal, kLater) ==
            AdmissionVerdict::kRefusedNoSlots);
  queue.SetSlots(kStart, 1);
  cr_assert(queue.Offer(At(5), 2, RequestPriority::kNormal, At(5)) ==
            AdmissionVerdict::kRefusedDeadline);
  queue.Offer(kStart, 3, RequestPriority::kNormal, kLater);
  queue.Finish(At(100), 3);
  queue.Offer(At(100), 4, RequestPriority::kNormal, kLater);
  cr_assert(queue.Offer(At(100), 5, RequestPriority::kNormal, At(299)) ==
            AdmissionVerdict::kRefusedDeadline);
  queue.Offer(At(100), 6, RequestPriority::kNormal, kLater);
  queue.Offer(At(100), 7, RequestPriority::kNormal, kLater);
  cr_assert(queue.Offer(At(100), 8, RequestPriority::kLow, kLater) ==
            AdmissionVerdict::kRefusedLowPriority);
  queue.Offer(At(100), 9, RequestPriority::kNormal, kLater);
  queue.Offer(At(100), 10, RequestPriority::kNormal, kLater);
  cr_assert(queue.Offer(At(100), 11, RequestPriority::kInternal, kLater) ==
            AdmissionVerdict::kRefusedQueueFull);
}

Test(admission_queue, refuses_waiting_requests_that_cannot_meet_their_deadline) {
  AdmissionQueue<> queue(4);
  queue.SetSlots(kStart, 1);
  queue.Offer(kStart, 1, RequestPriority::kNormal, kLater);
  queue.Offer(kStart, 2, RequestPriority::kNormal, At(50));
  queue.Offer(kStart, 3, RequestPriority::kNormal, At(500));
  cr_assert(queue.Expire(At(49)).refused.empty());
  cr_assert(queue.Expire(At(50)).refused == std::vector<RequestId>({2}));
  // The first request took 400 ms. The remaining 100 ms are less than half of that.
  const AdmissionRelease release = queue.Finish(At(400), 1);
  cr_assert(release.admitted.empty());
  cr_assert(release.refused == std::vector<RequestId>({3}));
}

Test(admission_queue, admits_to_a_free_slot_after_a_slow_period) {
  AdmissionQueue<> queue(4);
  queue.SetSlots(kStart, 1);
  queue.Offer(kStart, 1, RequestPriority::kNormal, kLater);
  queue.Finish(At(5000), 1);
  cr_assert(queue.Offer(At(5000), 2, RequestPriority::kNormal, At(5100)) ==
            AdmissionVerdict::kAdmitted);
}

namespace {

// Offers requests until one is not admitted immediately; returns how many were admitted.
template <typename Queue>
RequestId FillSlots(Queue& queue, RequestId first_id, RequestPriority priority) {
  RequestId id = first_id;
  while (queue.Offer(kStart, id, priority, kLater) == AdmissionVerdict::kAdmitted) {
    ++id;
  }
  return id - first_id;
}

}  // namespace

Test(admission_reserve, internal_checks_find_a_slot) {
  AdmissionQueue<ReserveShare> share(100);
  share.SetSlots(kStart, 54);
  cr_assert_eq(FillSlots(share, 0, RequestPriority::kNormal), 48);
  cr_assert_eq(FillSlots(share, 1000, RequestPriority::kInternal), 6);
  AdmissionQueue<ReserveByLimits> limits(100);
  limits.SetSlots(kStart, 54);
  cr_assert_eq(FillSlots(limits, 0, RequestPriority::kLow), 37);
  cr_assert_eq(FillSlots(limits, 1000, RequestPriority::kNormal), 48 - 37);
  cr_assert_eq(FillSlots(limits, 2000, RequestPriority::kInternal), 6);
  AdmissionQueue<ReserveNone> none(100);
  none.SetSlots(kStart, 54);
  cr_assert_eq(FillSlots(none, 0, RequestPriority::kLow), 54);
}

Test(admission_limiter, admits_the_rate_and_the_burst) {
  AdmissionLimiter limiter(kStart, 10, 3);
  int passed = 0;
  for (int ms = 0; ms < 10000; ++ms) {
    passed += limiter.TryTake(At(ms)) ? 1 : 0;
  }
  cr_assert(passed >= 102 && passed <= 103, "%d passed", passed);
}

Test(admission_limiter, returns_the_time_after_which_the_next_request_is_admitted) {
  cr_assert(rc::check("retry after", [] {
    const double rate = *rc::gen::inRange(1, 5000);
    AdmissionLimiter limiter(kStart, rate, *rc::gen::inRange(1, 5));
    TimePoint now = At(*rc::gen::inRange(0, 50));
    while (limiter.TryTake(now)) {
    }
    const Duration wait = limiter.GetRetryAfter(now);
    RC_ASSERT(wait > Duration{0});
    RC_ASSERT(!limiter.TryTake(now + wait - Duration{1}));
    RC_ASSERT(limiter.TryTake(now + wait));
  }));
}

namespace {

// Reference model of a queue. It holds every offered id in exactly one of its sets.
struct QueueOracle {
  struct Waiting {
    RequestPriority priority;
    TimePoint deadline;
  };
  std::map<RequestId, Waiting> waiting;
  std::set<RequestId> running;
  std::set<RequestId> done;

  void Apply(const AdmissionRelease& release) {
    for (RequestId id : release.admitted) {
      RC_ASSERT(this->waiting.erase(id) == 1);
      this->running.insert(id);
    }
    for (RequestId id : release.refused) {
      RC_ASSERT(this->waiting.erase(id) == 1);
      this->done.insert(id);
    }
  }
};

// Checks that no admitted request overtook a waiting one with a lower rank, or with the same rank
// and an earlier deadline.
template <typename Policy>
void CheckOrder(const QueueOracle& before, const AdmissionRelease& release) {
  std::map<RequestId, QueueOracle::Waiting> left = before.waiting;
  for (RequestId id : release.refused) {
    left.erase(id);
  }
  for (RequestId id : release.admitted) {
    const QueueOracle::Waiting taken = left.at(id);
    left.erase(id);
    for (const auto& [other, waiting] : left) {
      const std::size_t rank = Policy::GetRank(waiting.priority);
      RC_ASSERT(rank >= Policy::GetRank(taken.priority));
      RC_ASSERT((rank > Policy::GetRank(taken.priority) || waiting.deadline >= taken.deadline));
    }
  }
}

// A queue and its reference model, which are driven by the same random steps.
template <typename Policy, typename Order>
struct QueueRun {
  std::uint32_t limit = *rc::gen::inRange(0U, 12U);
  std::uint32_t slots = 0;
  AdmissionQueue<Policy, Order> queue{limit};
  QueueOracle oracle;
  TimePoint now = kStart;

  void Offer(RequestId id) {
    const RequestPriority priority = *rc::gen::element(
        RequestPriority::kInternal, RequestPriority::kNormal, RequestPriority::kLow);
    const TimePoint deadline = this->now + milliseconds(*rc::gen::inRange(0, 200));
    const AdmissionVerdict verdict = this->queue.Offer(this->now, id, priority, deadline);
    if (verdict == AdmissionVerdict::kAdmitted) {
      RC_ASSERT(this->oracle.running.size() < this->slots);
      this->oracle.running.insert(id);
    } else if (verdict == AdmissionVerdict::kQueued) {
      this->oracle.waiting[id] = {priority, deadline};
    } else {
      this->oracle.done.insert(id);
    }
  }

  AdmissionRelease FinishFirst() {
    const RequestId finished = *this->oracle.running.begin();
    this->oracle.running.erase(finished);
    this->oracle.done.insert(finished);
    return this->queue.Finish(this->now, finished);
  }

  void Apply(const AdmissionRelease& release) {
    if constexpr (std::is_same_v<Order, OrderByDeadline>) {
      CheckOrder<Policy>(this->oracle, release);
    }
    this->oracle.Apply(release);
    RC_ASSERT((release.admitted.empty() || this->oracle.running.size() <= this->slots));
    RC_ASSERT(this->oracle.waiting.size() <= this->limit);
    RC_ASSERT(this->queue.GetLoad().CountQueued() == this->oracle.waiting.size());
    RC_ASSERT(this->queue.GetLoad().CountRunning() == this->oracle.running.size());
  }

  void Expire() {
    this->Apply(this->queue.Expire(this->now));
    for (const auto& [id, waiting] : this->oracle.waiting) {
      RC_ASSERT(waiting.deadline > this->now);
    }
  }
};

template <typename Policy, typename Order>
void RunQueueSteps() {
  QueueRun<Policy, Order> run;
  const int steps = *rc::gen::inRange(1, 200);
  for (RequestId id = 0; id < static_cast<RequestId>(steps); ++id) {
    run.now += milliseconds(*rc::gen::inRange(0, 20));
    const int kind = *rc::gen::inRange(0, 10);
    if (id == 0 || kind == 0) {
      run.slots = *rc::gen::inRange(0U, 8U);
      run.Apply(run.queue.SetSlots(run.now, run.slots));
    } else if (kind < 6) {
      run.Offer(id);
    } else if (kind < 9 && !run.oracle.running.empty()) {
      run.Apply(run.FinishFirst());
    } else {
      run.Expire();
    }
  }
  run.now += seconds(60);
  run.Expire();
  RC_ASSERT(run.oracle.waiting.empty());
}

}  // namespace

Test(admission_queue, agrees_with_the_oracle_over_random_steps) {
  cr_assert(rc::check("none", RunQueueSteps<ReserveNone, OrderByDeadline>));
  cr_assert(rc::check("limits", RunQueueSteps<ReserveByLimits, OrderByDeadline>));
  cr_assert(rc::check("share", RunQueueSteps<ReserveShare, OrderByDeadline>));
  cr_assert(rc::check("newest", RunQueueSteps<ReserveShare, OrderNewestUnderOverload>));
}
