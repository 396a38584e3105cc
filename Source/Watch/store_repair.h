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

// Inputs of StoreRepair. The held version is passed with each input, because it may
// change while a call is outstanding. Null stands for no version.
struct RepairHeadRead {
  StoredHead stored;
};
// Answers RepairWriteBody and RepairKeepDisplaced; an existing key counts as written.
struct RepairKeyWritten {};
struct RepairSwapReplied {
  bool succeeded = false;
  StoredHead stored;
};
struct RepairCallFailed {};
struct RepairTimePassed {};

using RepairEvent = std::variant<RepairHeadRead, RepairKeyWritten, RepairSwapReplied,
                                 RepairCallFailed, RepairTimePassed>;

// Start no call: store and held version agree, or a call is still outstanding.
struct RepairNothing {};
// The store holds a newer version; fetch it from a daemon or from its body key.
struct RepairFetch {
  RulesHead head;
};
// Create the body key of the held version, if it does not exist.
struct RepairWriteBody {
  std::shared_ptr<const RulesVersion> version;
};
// Create displaced/<number>-<digest> with this head; its body key exists.
struct RepairKeepDisplaced {
  RulesHead head;
};
struct RepairSwapHead {
  RulesHead head;
  std::uint64_t expected_revision = 0;
};
struct RepairReadHead {};
struct RepairWaitUntil {
  TimePoint time;
};

using RepairAction = std::variant<RepairNothing, RepairFetch, RepairWriteBody, RepairKeepDisplaced,
                                  RepairSwapHead, RepairReadHead, RepairWaitUntil>;

// Compares each head that the watcher reads with the held version and brings the store
// up to date when it lost state. Before a version leaves the accepted sequence, it is
// kept under displaced/. Only the watcher of a scope runs it.
class StoreRepair {
 public:
  StoreRepair(Duration first_wait, Duration longest_wait);

  RepairAction Handle(const RepairEvent& event, const std::shared_ptr<const RulesVersion>& held,
                      TimePoint now, std::mt19937_64& random);

 private:
  enum class State { kIdle, kWritingBody, kKeepingDisplaced, kSwapping, kWaiting, kReading };

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

  // Plans the steps that bring store and held version together.
  RepairAction Compare(const StoredHead& read_head,
                       const std::shared_ptr<const RulesVersion>& held);
  // The next step of the plan.
  RepairAction Continue();
  RepairAction Wait(TimePoint now, std::mt19937_64& random);
  // Whether the older version is known not to precede the newer head.
  static bool IsFork(const RulesHead& older, const RulesHead& newer);
  // The head of a held version, with the submission records known to precede it.
  RulesHead BuildHead(const RulesVersion& version) const;

  WatchBackoff backoff;
  State state = State::kIdle;
  StoredHead stored;
  // The newest head read; its records survive the store's loss.
  std::optional<RulesHead> newest_seen;
  // Plan of the current repair, in the order of execution.
  std::shared_ptr<const RulesVersion> body;
  std::optional<RulesHead> displaced;
  std::optional<RulesHead> write_back;
  bool fetch = false;
  // The held version that was last recorded as displaced; it is recorded only once.
  VersionStamp recorded;
  TimePoint wait_until;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_WATCH_STORE_REPAIR_H_
