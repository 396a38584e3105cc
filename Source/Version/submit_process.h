#ifndef LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_PROCESS_H_
#define LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_PROCESS_H_

#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>

#include "Core/result.h"
#include "Core/time_point.h"
#include "Version/submit_messages.h"
#include "Watch/watch_backoff.h"
#include "rules.h"

namespace lacewingbridge {

struct SubmitSettings {
  Duration deadline = std::chrono::seconds(10);
  Duration first_wait = std::chrono::milliseconds(100);
  Duration longest_wait = std::chrono::seconds(2);
};

// One submission of a rules text, from the first read of the head to a typed outcome.
// At most one store call is outstanding at a time.
class SubmitProcess {
 public:
  // The store holds values up to 1 MB.
  static constexpr std::size_t kMaxTextBytes = 1'000'000;
  // Larger deltas are fetched from a daemon instead of growing the head.
  static constexpr std::size_t kMaxDeltaBytes = 2048;
  static constexpr std::size_t kMaxIdBytes = 64;
  static constexpr std::size_t kMaxOperatorBytes = 128;

  // An id that every daemon can decode and that keeps the head small: 1 to 64 letters,
  // digits, '.', '_' or '-'.
  static bool IsValidSubmissionId(std::string_view id);

  // Fails when the id or the operator's name is not valid or the text is too long.
  static Result<SubmitProcess> Create(SubmitRequest request, SubmitSettings settings,
                                      TimePoint now);

  // Hands in one input and returns what to do next. An input that does not answer the
  // outstanding call is ignored.
  SubmitAction Handle(const SubmitEvent& event, TimePoint now, std::mt19937_64& random);

  // Stamp that the version has if it is accepted.
  const VersionStamp& GetStamp() const { return this->stamp; }
  std::string_view GetText() const { return this->request.text; }

 private:
  enum class State { kCreated, kReading, kWritingBody, kSwapping, kWaiting, kFinished };

  SubmitProcess(SubmitRequest initial_request, SubmitSettings settings, TimePoint now);

  SubmitAction Apply(const SubmitStarted& event, TimePoint now, std::mt19937_64& random);
  SubmitAction Apply(const SubmitHeadRead& event, TimePoint now, std::mt19937_64& random);
  SubmitAction Apply(const SubmitBodyWritten& event, TimePoint now, std::mt19937_64& random);
  SubmitAction Apply(const SubmitSwapReplied& event, TimePoint now, std::mt19937_64& random);
  SubmitAction Apply(const SubmitCallFailed& event, TimePoint now, std::mt19937_64& random);
  SubmitAction Apply(const SubmitTimePassed& event, TimePoint now, std::mt19937_64& random);

  SubmitAction ReadHead();
  SubmitAction SwapHead();
  SubmitAction Wait(TimePoint now, std::mt19937_64& random);
  SubmitAction KeepWaiting() const;
  SubmitAction Finish(SubmitOutcome final_outcome);
  // Ends the process without knowledge of the head.
  SubmitAction GiveUp();

  bool MatchesBase(const StoredHead& stored) const;
  // Decides about a head that is neither the base nor carries this submission.
  SubmitAction DecideOtherHead(const StoredHead& stored, TimePoint now, std::mt19937_64& random);
  std::optional<VersionStamp> FindAcceptedStamp(const StoredHead& stored) const;
  RulesHead BuildHead() const;

  SubmitRequest request;
  VersionStamp stamp;
  WatchBackoff backoff;
  TimePoint deadline;
  TimePoint wait_until;
  State state = State::kCreated;
  StoredHead base_head;
  bool body_written = false;
  // Whether a swap by this or an earlier process may have taken effect.
  bool may_be_accepted = false;
  SubmitOutcome outcome;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_PROCESS_H_
