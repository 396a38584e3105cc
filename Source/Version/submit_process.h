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
  // Time from the creation of the process until it stops waiting for the store.
  Duration deadline = std::chrono::seconds(10);
  // Limits of the random waits between attempts, see WatchBackoff.
  Duration first_wait = std::chrono::milliseconds(100);
  Duration longest_wait = std::chrono::seconds(2);
};

// State machine of one submission of a rules text, from the first read of the head to the final
// outcome. It makes no calls itself: Handle returns the next action, and the caller performs it.
// At most one store call is outstanding at a time. Not synchronized.
class SubmitProcess {
 public:
  // The store accepts values of up to 1 MB.
  static constexpr std::size_t kMaxTextBytes = 1'000'000;
  // The head contains deltas up to this encoded size. Daemons fetch a larger one from another
  // daemon, so that the head stays small.
  static constexpr std::size_t kMaxDeltaBytes = 2048;
  static constexpr std::size_t kMaxIdBytes = 64;
  static constexpr std::size_t kMaxOperatorBytes = 128;

  // Whether the id has 1 to 64 characters, each a letter, a digit, '.', '_' or '-'. Every daemon
  // can decode such an id, and it keeps the head small.
  static bool IsValidSubmissionId(std::string_view id);

  // Fails if the submission id or the operator's name is invalid or the text is too long.
  static Result<SubmitProcess> Create(SubmitRequest request, SubmitSettings settings,
                                      TimePoint now);

  // Processes one input and returns the next action. An input that does not belong to the
  // outstanding call is ignored.
  SubmitAction Handle(const SubmitEvent& event, TimePoint now, std::mt19937_64& random);

  // The stamp that the version has if it is accepted.
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
  // Schedules another attempt after a random wait, or ends the process if the wait would exceed
  // the deadline.
  SubmitAction Wait(TimePoint now, std::mt19937_64& random);
  // Continues the current wait, or waits for the outstanding call until the deadline.
  SubmitAction KeepWaiting() const;
  SubmitAction Finish(SubmitOutcome final_outcome);
  // Ends the process when the head could not be determined in time. The outcome is unknown if a
  // swap may have taken effect.
  SubmitAction GiveUp();

  bool MatchesBase(const StoredHead& stored) const;
  // Handles a head that is not the base and does not show this submission as accepted.
  SubmitAction HandleUnexpectedHead(const StoredHead& stored, TimePoint now,
                                    std::mt19937_64& random);
  // Returns the stamp under which the head shows this submission as accepted, if it does.
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
  // Whether a swap of the head by this or an earlier process may have taken effect.
  bool may_be_accepted = false;
  SubmitOutcome outcome;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_VERSION_SUBMIT_PROCESS_H_
