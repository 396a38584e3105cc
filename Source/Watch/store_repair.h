#ifndef LACEWINGBRIDGE_SOURCE_WATCH_STORE_REPAIR_H_
#define LACEWINGBRIDGE_SOURCE_WATCH_STORE_REPAIR_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <variant>

#include "Core/time_point.h"
#include "Version/submit_messages.h"
#include "Watch/watch_backoff.h"
#include "rules.h"

namespace lacewingbridge {

// Inputs of StoreRepair. The caller passes the version that this daemon holds with each input,
// because it may change while a call is outstanding. Null stands for no version.
struct RepairHeadRead {
  StoredHead stored;
};
// The key of RepairWriteBody or RepairRecordDisplaced exists. A key that existed before counts as
// written.
struct RepairKeyWritten {};
struct RepairSwapReplied {
  bool succeeded = false;
  StoredHead stored;
};
struct RepairCallFailed {};
struct RepairTimePassed {};

using RepairEvent = std::variant<RepairHeadRead, RepairKeyWritten, RepairSwapReplied,
                                 RepairCallFailed, RepairTimePassed>;

// Make no call: the store agrees with the held version, or a call is still outstanding.
struct RepairNothing {};
// The store holds a newer version. Fetch it from a daemon or from its body key.
struct RepairFetch {
  RulesHead head;
};
// Create the body key of the held version if the key does not exist.
struct RepairWriteBody {
  std::shared_ptr<const RulesVersion> version;
};
// Create the key displaced/<number>-<digest> with this head. Its body key exists already.
struct RepairRecordDisplaced {
  RulesHead head;
};
// Replace the head if the key still has the expected revision.
struct RepairSwapHead {
  RulesHead head;
  std::uint64_t expected_revision = 0;
};
struct RepairReadHead {};
// Make no call. Pass RepairTimePassed at this time unless another input comes first.
struct RepairWaitUntil {
  TimePoint time;
};

using RepairAction =
    std::variant<RepairNothing, RepairFetch, RepairWriteBody, RepairRecordDisplaced, RepairSwapHead,
                 RepairReadHead, RepairWaitUntil>;

// State machine that restores the store after it lost state. It compares each head that the
// watcher reads with the version that this daemon holds, and writes the held version back if that
// is newer. A version that a fork removes from the accepted sequence is first recorded under
// displaced/. Only the watcher of a scope runs it. It makes no calls itself: Handle returns the
// next action, and the caller performs it. Not synchronized.
class StoreRepair {
 public:
  StoreRepair(Duration first_wait, Duration longest_wait);

  RepairAction Handle(const RepairEvent& event, const std::shared_ptr<const RulesVersion>& held,
                      TimePoint now, std::mt19937_64& random);

 private:
  enum class State { kIdle, kWritingBody, kRecordingDisplaced, kSwapping, kWaiting, kReading };

  RepairAction Apply(const RepairHeadRead& event, const std::shared_ptr<const RulesVersion>& held,
                     TimePoint now, std::mt19937_64& random);
  RepairAction Apply(const RepairKeyWritten& event, const std::shared_ptr<const RulesVersion>& held,
                     TimePoint now, std::mt19937_64& random);
  RepairAction Apply(const RepairSwapReplied& event,
                     const std::shared_ptr<const RulesVersion>& held, TimePoint now,
                     std::mt19937_64& random);
  RepairAction Apply(const RepairCallFailed& event, const std::shared_ptr<const RulesVersion>& held,
                     TimePoint now, std::mt19937_64& random);
  RepairAction Apply(const RepairTimePassed& event, const std::shared_ptr<const RulesVersion>& held,
                     TimePoint now, std::mt19937_64& random);

  // Compares the head with the held version, plans the steps of the repair and starts the first.
  RepairAction Compare(const StoredHead& read_head,
                       const std::shared_ptr<const RulesVersion>& held);
  // Starts the next step of the plan.
  RepairAction Continue();
  // Schedules another read of the head after a random wait.
  RepairAction Wait(TimePoint now, std::mt19937_64& random);
  // Whether the older head is known not to be a predecessor of the newer one.
  static bool IsFork(const RulesHead& older, const RulesHead& newer);
  // Builds the head of a held version, with the known submission records of its predecessors.
  RulesHead BuildHead(const RulesVersion& version) const;

  WatchBackoff backoff;
  State state = State::kIdle;
  // The head that the current plan is based on.
  StoredHead stored;
  // The newest head that was read. Its records are still known after the store has lost them.
  std::optional<RulesHead> newest_seen;
  // The remaining steps of the current repair, in the order of execution.
  std::shared_ptr<const RulesVersion> body;
  std::optional<RulesHead> displaced;
  std::optional<RulesHead> write_back;
  bool fetch = false;
  // The version that was last recorded as displaced, so that a held version is recorded only once.
  VersionStamp last_recorded;
  TimePoint wait_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_STORE_REPAIR_H_
