#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_STORE_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "store.h"

namespace lacewingbridge {

// In-memory key-value store with injected time: compare-and-swap, leases, watches and
// faults. Every call returns at once; no answer stands for a call that failed. Time
// must not go backwards between calls.
class FakeStore {
 public:
  // A watch whose answer is ready.
  struct FinishedWatch {
    std::uint64_t watch_id = 0;
    // Empty when the store is down.
    std::optional<StoreWatchReply> reply;
  };

  std::optional<StoreGetReply> Get(const StoreGetRequest& request, TimePoint now);
  std::optional<StoreSwapReply> Swap(const StoreSwapRequest& request, TimePoint now);
  std::optional<StoreLeaseReply> Lease(const StoreLeaseRequest& request, TimePoint now);
  // Returns the id under which TakeFinishedWatches reports the answer.
  std::uint64_t Watch(const StoreWatchRequest& request, TimePoint now);
  // Watches that ended at or before this time.
  std::vector<FinishedWatch> TakeFinishedWatches(TimePoint now);

  // While down, calls are counted, take no effect and get no answer.
  void SetDown(bool is_down) { this->down = is_down; }
  // Time between a call and its answer, for callers that schedule answers.
  void SetDelay(Duration answer_delay) { this->delay = answer_delay; }
  Duration GetDelay() const { return this->delay; }
  // The next calls of this kind take effect but get no answer.
  void LoseSwapAnswers(std::uint32_t count) { this->lost_swap_answers += count; }
  void LoseLeaseAnswers(std::uint32_t count) { this->lost_lease_answers += count; }

  // Returns to an earlier state, as after a restore from a copy. The revision counter
  // goes on, so that a revision never names two values.
  void RememberState() { this->remembered = this->entries; }
  void LoseRecentState() { this->entries = this->remembered; }

  const StoreCallCounts& GetCounts() const { return this->counts; }
  // The entry without a counted call.
  StoreEntry Peek(const std::string& key, TimePoint now);

 private:
  struct Entry {
    StoreEntry entry;
    std::uint64_t lease_id = 0;
  };
  struct PendingWatch {
    std::uint64_t watch_id = 0;
    StoreWatchRequest request;
    TimePoint ends_at;
  };

  // Removes lapsed leases and their keys.
  void ExpireLeases(TimePoint now);
  StoreEntry Find(const std::string& key) const;

  std::map<std::string, Entry> entries;
  std::map<std::string, Entry> remembered;
  std::map<std::uint64_t, TimePoint> lease_ends;
  std::vector<PendingWatch> watches;
  StoreCallCounts counts;
  std::uint64_t last_revision = 0;
  std::uint64_t last_lease_id = 0;
  std::uint64_t last_watch_id = 0;
  bool down = false;
  Duration delay{};
  std::uint32_t lost_swap_answers = 0;
  std::uint32_t lost_lease_answers = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_STORE_H_
