#ifndef LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WATCHER_H_
#define LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WATCHER_H_

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "Daemon/store_keys.h"
#include "Daemon/store_records.h"
#include "Version/version_order.h"
#include "Watch/store_repair.h"
#include "Watch/watch_election.h"
#include "store_codec.h"

namespace lacewingbridge {

// Performs the election of the watcher and the watch of the head for one process.
// StoreWatcher does this on two threads; here both parts run on simulated time. WatchElection
// and Repair make all decisions; Repair is a template parameter so that a test can replace
// StoreRepair by a broken type.
template <typename Node, typename Repair>
class VersionWatcher {
 public:
  VersionWatcher(Node& own_node, const WatchElectionSettings& settings, TimePoint now,
                 std::mt19937_64& random_source)
      : node(own_node),
        random(random_source),
        election(settings, now, random_source),
        repair(std::chrono::milliseconds(200), std::chrono::seconds(10)) {}

  void Start() {
    this->RunElection();
    this->RunHeadWatch();
  }

  bool IsWatching() const { return this->node.GetNow() < this->acting_until; }
  bool IsStoreReachable() const { return this->store_reachable; }

 private:
  // Starts one round of the election, which schedules the next one.
  void RunElection() {
    this->members = this->node.ListScopeMembers();
    this->Elect(WatchMembersChanged{this->members}, false);
  }

  // Hands the event to the election and performs the call that it asks for. is_last: the event
  // is already the check of time that ends a round.
  void Elect(const WatchEvent& event, bool is_last) {
    const WatchDecision decision = this->election.Handle(event, this->node.GetNow(), this->random);
    this->acting_until = decision.acting ? decision.acting_until : TimePoint{};
    if (!std::holds_alternative<WatchNoCall>(decision.call)) {
      std::visit([this](const auto& call) { this->Perform(call); }, decision.call);
    } else if (!is_last) {
      this->Elect(WatchTimePassed{}, true);
    } else {
      const Duration wait =
          std::min<Duration>(decision.wake_at - this->node.GetNow(), std::chrono::seconds(1));
      this->node.Schedule(std::max(wait, Duration(1000)), [this] { this->RunElection(); });
    }
  }

  void Perform(const WatchNoCall& /*call*/) {}
  void Perform(const WatchReadKey& /*call*/) {
    this->node.CallStore(
        [key = this->GetKey()](FakeStore& store, TimePoint now) { return store.Get({key}, now); },
        [this](const std::optional<StoreGetReply>& reply) {
          this->store_reachable = reply.has_value();
          this->Elect(reply.has_value() ? WatchEvent(WatchKeyRead{DecodeHolder(reply->entry),
                                                                  reply->entry.revision})
                                        : WatchCallFailed{},
                      false);
        });
  }
  void Perform(const WatchGrantLease& call) { this->Perform(WatchRenewLease{0, call.duration}); }
  void Perform(const WatchRenewLease& call) {
    const StoreLeaseRequest request{call.lease_id,
                                    static_cast<std::uint32_t>(CountMilliseconds(call.duration))};
    this->node.CallStore(
        [request](FakeStore& store, TimePoint now) { return store.Lease(request, now); },
        [this](const std::optional<StoreLeaseReply>& reply) {
          this->store_reachable = reply.has_value();
          this->Elect(reply.has_value()
                          ? WatchEvent(WatchLeaseReplied{reply->granted, reply->lease_id})
                          : WatchCallFailed{},
                      false);
        });
  }
  void Perform(const WatchSwapKey& call) {
    const StoreSwapRequest request{this->GetKey(), Encode(call.holder), call.expected_revision,
                                   call.holder.lease_id};
    this->node.CallStore(
        [request](FakeStore& store, TimePoint now) { return store.Swap(request, now); },
        [this](const std::optional<StoreSwapReply>& reply) {
          this->store_reachable = reply.has_value();
          this->Elect(reply.has_value() ? WatchEvent(WatchKeySwapped{reply->succeeded,
                                                                     DecodeHolder(reply->entry)})
                                        : WatchCallFailed{},
                      false);
        });
  }

  // Checks whether the head changed, and starts a repair if it did or the watch has expired.
  void RunHeadWatch() {
    if (!this->IsWatching()) {
      this->is_first_read = true;
      this->node.Schedule(std::chrono::seconds(1), [this] { this->RunHeadWatch(); });
      return;
    }
    // The head is polled every 50 ms to simulate a pending watch. A watch that fails is started
    // again after 1 s.
    const std::optional<StoreEntry> entry = this->node.PeekHead();
    if (!entry.has_value()) {
      this->store_reachable = false;
      this->node.Schedule(std::chrono::seconds(1), [this] { this->RunHeadWatch(); });
      return;
    }
    this->store_reachable = true;
    if (this->is_first_read || entry->revision != this->known_revision ||
        this->node.GetNow() >= this->watch_ends) {
      this->next_revision = entry->revision;
      this->Handle(RepairHeadRead{DecodeHead(*entry)});
      return;
    }
    this->node.Schedule(std::chrono::milliseconds(50), [this] { this->RunHeadWatch(); });
  }

  // Ends the handling of one state of the head and resumes the watch.
  void EndHead() {
    this->known_revision = this->next_revision;
    this->is_first_read = false;
    this->watch_ends = this->node.GetNow() + std::chrono::seconds(30);
    this->node.Schedule(std::chrono::milliseconds(1), [this] { this->RunHeadWatch(); });
  }

  void Handle(const RepairEvent& event) {
    const RepairAction action = this->repair.Handle(event, this->node.GetRules().GetHeld(),
                                                    this->node.GetNow(), this->random);
    std::visit([this](const auto& one) { this->PerformRepair(one); }, action);
  }

  void PerformRepair(const RepairNothing& /*action*/) { this->EndHead(); }
  void PerformRepair(const RepairFetch& action) {
    if (action.head.delta.has_value() && this->node.OfferDelta(*action.head.delta)) {
      this->EndHead();
    } else if (this->node.HasFirstSibling()) {
      this->node.Schedule(std::chrono::seconds(1), [this, head = action.head] {
        if (IsNewer(head.stamp, this->node.GetRules().GetStamp())) {
          this->ReadBody(head);
        } else {
          this->EndHead();
        }
      });
    } else {
      this->ReadBody(action.head);
    }
  }
  void ReadBody(const RulesHead& head) {
    this->node.ReadVersion(head, [this](bool offered) {
      if (offered) {
        this->EndHead();
      } else {
        this->Handle(RepairCallFailed{});
      }
    });
  }
  void PerformRepair(const RepairWriteBody& action) {
    this->Write(MakeBodyKey(action.version->stamp.digest), action.version->text);
  }
  void PerformRepair(const RepairRecordDisplaced& action) {
    this->Write(MakeDisplacedKey(action.head.stamp), Encode(action.head));
  }
  void Write(const std::string& key, const std::string& value) {
    this->node.CallStore(
        [key, value](FakeStore& store, TimePoint now) {
          return store.Swap({key, value, 0, 0}, now);
        },
        [this](const std::optional<StoreSwapReply>& reply) {
          this->Handle(reply.has_value() ? RepairEvent(RepairKeyWritten{}) : RepairCallFailed{});
        });
  }
  void PerformRepair(const RepairSwapHead& action) {
    const StoreSwapRequest request{kHeadKey, Encode(action.head), action.expected_revision, 0};
    this->node.CallStore(
        [request](FakeStore& store, TimePoint now) { return store.Swap(request, now); },
        [this](const std::optional<StoreSwapReply>& reply) {
          this->Handle(reply.has_value() ? RepairEvent(RepairSwapReplied{reply->succeeded,
                                                                         DecodeHead(reply->entry)})
                                         : RepairCallFailed{});
        });
  }
  void PerformRepair(const RepairReadHead& /*action*/) {
    this->node.CallStore([](FakeStore& store, TimePoint now) { return store.Get({kHeadKey}, now); },
                         [this](const std::optional<StoreGetReply>& reply) {
                           this->Handle(reply.has_value()
                                            ? RepairEvent(RepairHeadRead{DecodeHead(reply->entry)})
                                            : RepairCallFailed{});
                         });
  }
  void PerformRepair(const RepairWaitUntil& action) {
    this->node.Schedule(std::max(action.time - this->node.GetNow(), Duration{0}),
                        [this] { this->Handle(RepairTimePassed{}); });
  }

  static std::optional<WatchHolder> DecodeHolder(const StoreEntry& entry) {
    WatchHolder holder;
    if (entry.revision == 0 || !Decode(entry.value, holder)) {
      return std::nullopt;
    }
    return holder;
  }
  std::string GetKey() const { return MakeWatchKey(this->node.GetScope()); }

  Node& node;
  std::mt19937_64& random;
  WatchElection election;
  Repair repair;
  std::vector<WatchMember> members;
  TimePoint acting_until{};
  bool store_reachable = true;
  bool is_first_read = true;
  // The watch expires at this time if the head does not change before.
  TimePoint watch_ends{};
  // Revisions of the head: the last one that was handled completely, and the one that is being
  // handled.
  std::uint64_t known_revision = 0;
  std::uint64_t next_revision = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FUZZ_VERSION_WATCHER_H_
