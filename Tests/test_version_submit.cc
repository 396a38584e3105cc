// Guards against a submission that is accepted twice, a reported outcome that differs from the
// actual one, an accepted version that is overwritten, and a head that is written before its body.
#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Core/digest.h"
#include "Fakes/fake_store.h"
#include "Version/submit_process.h"
#include "rules_codec.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

static constexpr TimePoint kStart{};

static StoredHead DecodeHead(const StoreEntry& entry) {
  StoredHead stored{std::nullopt, entry.revision};
  if (entry.revision != 0) {
    cr_assert(Decode(entry.value, stored.head.emplace()));
  }
  return stored;
}

// A store that records every accepted head.
struct RecordingStore {
  // Performs the call of an action and returns the response as an input of SubmitProcess.
  SubmitEvent Perform(const SubmitAction& action, const std::string& text, TimePoint now) {
    if (std::holds_alternative<SubmitReadHead>(action)) {
      return SubmitHeadRead{DecodeHead(store.Get({"head"}, now)->entry)};
    }
    if (const auto* body = std::get_if<SubmitWriteBody>(&action)) {
      store.Swap({"body/" + body->digest, text, 0, 0}, now);
      return SubmitBodyWritten{};
    }
    const auto& swap = std::get<SubmitSwapHead>(action);
    const auto reply = store.Swap({"head", Encode(swap.head), swap.expected_revision, 0}, now);
    if (reply->succeeded) {
      cr_assert_neq(store.Peek("body/" + swap.head.stamp.digest, now).revision, 0,
                    "head written before its body");
      accepted.push_back(swap.head);
    }
    return SubmitSwapReplied{reply->succeeded, DecodeHead(reply->entry)};
  }

  const RulesHead* FindAccepted(const std::string& id) const {
    for (const RulesHead& head : accepted) {
      if (head.submission_id == id) {
        return &head;
      }
    }
    return nullptr;
  }

  FakeStore store;
  std::vector<RulesHead> accepted;
};

static SubmitProcess MakeProcess(const std::string& id, std::uint64_t base, bool resumed,
                                 TimePoint now) {
  SubmitRequest request;
  request.submission_id = id;
  request.base.number = base;
  request.text = "rules of " + id;
  request.resumed = resumed;
  return GetValue(SubmitProcess::Create(std::move(request), {}, now));
}

static bool IsCall(const SubmitAction& action) {
  return !std::holds_alternative<SubmitWaitUntil>(action) &&
         !std::holds_alternative<SubmitFinished>(action);
}

// Runs a process whose calls all succeed.
static SubmitOutcome RunToEnd(RecordingStore& recording, SubmitProcess process, TimePoint now) {
  std::mt19937_64 random(1);
  SubmitAction action = process.Handle(SubmitStarted{}, now, random);
  while (!std::holds_alternative<SubmitFinished>(action)) {
    if (const auto* wait = std::get_if<SubmitWaitUntil>(&action)) {
      now = std::max(now, wait->time);
      action = process.Handle(SubmitTimePassed{}, now, random);
    } else {
      action = process.Handle(recording.Perform(action, std::string(process.GetText()), now), now,
                              random);
    }
  }
  return std::get<SubmitFinished>(action).outcome;
}

// Several submitters whose calls are refused, are lost before or after they take effect, or take
// effect only after the submitter has timed out.
struct Interleaving {
  struct Submitter {
    std::string id;
    SubmitProcess process;
    SubmitAction action;
  };
  struct LateCall {
    SubmitAction action;
    std::string text;
  };

  void Start(const std::string& id, bool resumed) {
    const std::uint64_t base = recording.accepted.size();
    const std::uint64_t original = bases.try_emplace(id, base).first->second;
    SubmitProcess process = MakeProcess(id, original, resumed, now);
    SubmitAction action = process.Handle(SubmitStarted{}, now, random);
    submitters.push_back({id, std::move(process), std::move(action)});
  }

  void Deliver(Submitter& submitter, const SubmitEvent& event) {
    submitter.action = submitter.process.Handle(event, now, random);
    if (const auto* finished = std::get_if<SubmitFinished>(&submitter.action)) {
      outcomes.emplace_back(submitter.id, finished->outcome);
    }
  }

  void PerformLateCalls() {
    for (const LateCall& call : std::exchange(late_calls, {})) {
      recording.Perform(call.action, call.text, now);
    }
  }

  // Lets time pass during a call. At the deadline the submitter ends, and its call takes effect
  // late.
  void PassTime(Submitter& submitter, const std::string& text) {
    const SubmitAction call = submitter.action;
    Deliver(submitter, SubmitTimePassed{});
    if (std::holds_alternative<SubmitFinished>(submitter.action)) {
      late_calls.push_back({call, text});
    } else {
      submitter.action = call;
    }
  }

  void Step(Submitter& submitter, int choice) {
    if (const auto* wait = std::get_if<SubmitWaitUntil>(&submitter.action)) {
      now = std::max(now, wait->time);
      Deliver(submitter, SubmitTimePassed{});
      return;
    }
    if (!IsCall(submitter.action)) {
      return;
    }
    const std::string text(submitter.process.GetText());
    switch (choice) {
      case 0:  // The connection is refused.
        return Deliver(submitter, SubmitCallFailed{false});
      case 1:  // The request is lost.
        return Deliver(submitter, SubmitCallFailed{true});
      case 2:  // The response is lost.
        recording.Perform(submitter.action, text, now);
        return Deliver(submitter, SubmitCallFailed{true});
      case 3:  // The call takes effect after its timeout.
        late_calls.push_back({submitter.action, text});
        return Deliver(submitter, SubmitCallFailed{true});
      case 4:  // The submitter stops, and the operator resumes the submission.
        late_calls.push_back({submitter.action, text});
        submitter.action = SubmitFinished{};
        return Start(std::string(submitter.id), true);
      case 5:  // Time passes, and earlier late calls take effect.
        now += std::chrono::seconds(4);
        PerformLateCalls();
        return PassTime(submitter, text);
      default:
        return Deliver(submitter, recording.Perform(submitter.action, text, now));
    }
  }

  RecordingStore recording;
  std::vector<Submitter> submitters;
  std::vector<LateCall> late_calls;
  std::map<std::string, std::uint64_t> bases;
  std::vector<std::pair<std::string, SubmitOutcome>> outcomes;
  std::mt19937_64 random{7};
  TimePoint now = kStart;
};

static void AssertHistoryIsLinear(const Interleaving& run) {
  std::map<std::string, int> acceptances;
  VersionStamp parent;
  for (const RulesHead& head : run.recording.accepted) {
    RC_ASSERT(head.parent == parent);
    RC_ASSERT(head.stamp.number == parent.number + 1);
    RC_ASSERT(++acceptances[head.submission_id] == 1);
    parent = head.stamp;
  }
}

static void AssertOutcomesMatchHistory(const Interleaving& run) {
  for (const auto& [id, outcome] : run.outcomes) {
    const RulesHead* head = run.recording.FindAccepted(id);
    if (const auto* accepted = std::get_if<SubmitAccepted>(&outcome)) {
      RC_ASSERT(head != nullptr);
      RC_ASSERT(accepted->stamp.number == head->stamp.number);
      RC_ASSERT(accepted->stamp.digest.empty() || accepted->stamp == head->stamp);
    } else if (!std::holds_alternative<SubmitOutcomeUnknown>(outcome)) {
      RC_ASSERT(head == nullptr);
    }
  }
}

Test(version_submit, is_accepted_at_most_once_and_reports_the_actual_outcome) {
  int unknown = 0;
  int accepted = 0;
  cr_assert(rc::check([&] {
    Interleaving run;
    // At the nominal size rapidcheck draws from the whole range already in the first case.
    const auto steps = *rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<std::pair<int, int>>>(
            400, rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 20))));
    for (int i = 0; i < 4; ++i) {
      run.Start("id" + std::to_string(i), false);
    }
    for (const auto& [which, choice] : steps) {
      if (choice == 19) {
        run.Start("new" + std::to_string(run.bases.size()), false);
      } else {
        const auto index = static_cast<std::size_t>(which) % run.submitters.size();
        run.Step(run.submitters[index], choice);
      }
    }
    // Calls that take effect after the outcome was reported must not make it wrong.
    run.PerformLateCalls();
    AssertHistoryIsLinear(run);
    AssertOutcomesMatchHistory(run);
    for (const auto& [id, outcome] : run.outcomes) {
      unknown += std::holds_alternative<SubmitOutcomeUnknown>(outcome);
      accepted += std::holds_alternative<SubmitAccepted>(outcome);
    }
    // Resuming with a working store gives a definite outcome. A submission that was certainly not
    // accepted before may be accepted now.
    run.outcomes.clear();
    for (const auto& [id, base] : run.bases) {
      const SubmitOutcome outcome =
          RunToEnd(run.recording, MakeProcess(id, base, true, run.now), run.now);
      RC_ASSERT(!std::holds_alternative<SubmitOutcomeUnknown>(outcome));
      run.outcomes.emplace_back(id, outcome);
    }
    AssertHistoryIsLinear(run);
    AssertOutcomesMatchHistory(run);
  }));
  cr_log_info("unknown %d, accepted %d", unknown, accepted);
  cr_assert_gt(accepted, 0);
}

Test(version_submit, other_base_is_a_conflict_with_the_current_head) {
  RecordingStore recording;
  RunToEnd(recording, MakeProcess("a", 0, false, kStart), kStart);
  const SubmitOutcome outcome = RunToEnd(recording, MakeProcess("b", 0, false, kStart), kStart);
  cr_assert(GetErrorKind(outcome) == ErrorKind::kSubmitConflict);
  cr_assert(std::get<SubmitConflict>(outcome).winner->submission_id == "a");
}

Test(version_submit, resumed_id_whose_record_is_gone_is_not_reported_as_refused) {
  RecordingStore recording;
  for (std::uint64_t number = 0; number < 34; ++number) {
    RunToEnd(recording, MakeProcess("id" + std::to_string(number), number, false, kStart), kStart);
  }
  cr_assert_eq(recording.accepted.back().recent_submissions.size(), 32);
  const auto resume = [&](const std::string& id, std::uint64_t base) {
    return RunToEnd(recording, MakeProcess(id, base, true, kStart), kStart);
  };
  cr_assert(std::get<SubmitAccepted>(resume("id32", 32)).stamp == recording.accepted[32].stamp);
  cr_assert(std::get<SubmitAccepted>(resume("id20", 20)).stamp.number == 21);
  cr_assert(GetErrorKind(resume("id0", 0)) == ErrorKind::kSubmitUnknown);
}

Test(version_submit, unresponsive_store_gives_an_unknown_outcome_only_after_a_swap) {
  std::mt19937_64 random(3);
  for (const bool swap_sent : {false, true}) {
    RecordingStore recording;
    SubmitProcess process = MakeProcess("a", 0, false, kStart);
    TimePoint now = kStart;
    SubmitAction action = process.Handle(SubmitStarted{}, now, random);
    while (swap_sent && !std::holds_alternative<SubmitSwapHead>(action)) {
      action = process.Handle(recording.Perform(action, "rules of a", now), now, random);
    }
    while (!std::holds_alternative<SubmitFinished>(action)) {
      const auto* wait = std::get_if<SubmitWaitUntil>(&action);
      now = wait != nullptr ? std::max(now, wait->time) : now + std::chrono::seconds(2);
      action = wait != nullptr ? process.Handle(SubmitTimePassed{}, now, random)
                               : process.Handle(SubmitCallFailed{}, now, random);
    }
    cr_assert(GetErrorKind(std::get<SubmitFinished>(action).outcome) ==
              (swap_sent ? ErrorKind::kSubmitUnknown : ErrorKind::kStoreUnavailable));
  }
}

Test(version_submit, includes_only_a_small_delta_from_the_base_to_the_result) {
  const std::vector<std::pair<std::size_t, std::uint64_t>> cases = {{2048, 0}, {2049, 0}, {10, 7}};
  for (const auto& [bytes, parent] : cases) {
    RecordingStore recording;
    SubmitRequest request;
    request.submission_id = "a";
    request.text = "text";
    request.delta = RulesDeltaScript{{parent, ""}, {1, ComputeDigest("text")}, {}};
    request.delta_encoded_bytes = bytes;
    RunToEnd(recording, GetValue(SubmitProcess::Create(request, {}, kStart)), kStart);
    cr_assert_eq(recording.accepted[0].delta.has_value(), bytes <= 2048 && parent == 0);
  }
}

Test(version_submit, swap_outstanding_at_the_deadline_is_not_reported_as_refused) {
  std::mt19937_64 random(3);
  RecordingStore recording;
  SubmitProcess process = MakeProcess("a", 0, false, kStart);
  SubmitAction action = process.Handle(SubmitStarted{}, kStart, random);
  while (!std::holds_alternative<SubmitSwapHead>(action)) {
    action = process.Handle(recording.Perform(action, "rules of a", kStart), kStart, random);
  }
  action = process.Handle(SubmitTimePassed{}, kStart + std::chrono::seconds(60), random);
  cr_assert(GetErrorKind(std::get<SubmitFinished>(action).outcome) == ErrorKind::kSubmitUnknown);
}

// A head that cannot be decoded would block every later submission.
Test(version_submit, refuses_ids_and_names_that_cannot_be_decoded_and_long_texts) {
  const auto is_created = [](const std::string& id, const std::string& name, std::size_t bytes) {
    SubmitRequest request;
    request.submission_id = id;
    request.operator_name = name;
    request.text = std::string(bytes, 'a');
    return IsOk(SubmitProcess::Create(std::move(request), {}, kStart));
  };
  cr_assert(is_created("a-1", "Mar\u00eda \u20ac \U0001f600", 1'000'000));
  for (const std::string id : {"", "\xff", "a b", "\u00ed"}) {
    cr_assert(!is_created(id, "", 1));
  }
  cr_assert(!is_created(std::string(65, 'a'), "", 1));
  for (const std::string name : {"\xff", "\xc3", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80"}) {
    cr_assert(!is_created("a", name, 1));
  }
  cr_assert(!is_created("a", std::string(129, 'a'), 1));
  cr_assert(!is_created("a", "", 1'000'001));
}
