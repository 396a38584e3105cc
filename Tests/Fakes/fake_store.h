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

// In-memory key-value store with compare-and-swap, leases, watches and injected faults. The caller
// passes the time, which must not go backwards between calls. Every call returns at once; an empty
// result means that the call failed.
class FakeStore {
 public:
  // A watch that has ended.
  struct FinishedWatch {
    std::uint64_t watch_id = 0;
    // Empty when the store is down.
    std::optional<StoreWatchReply> reply;
  };

  std::optional<StoreGetReply> Get(const StoreGetRequest& request, TimePoint now);
  std::optional<StoreSwapReply> Swap(const StoreSwapRequest& request, TimePoint now);
  std::optional<StoreLeaseReply> Lease(const StoreLeaseRequest& request, TimePoint now);
  // Returns the id under which TakeFinishedWatches reports the end of the watch.
  std::uint64_t Watch(const StoreWatchRequest& request, TimePoint now);
  // Removes and returns the watches that ended at or before this time.
  std::vector<FinishedWatch> TakeFinishedWatches(TimePoint now);

  // While the store is down, calls are counted but fail without taking effect.
  void SetDown(bool is_down) { this->down = is_down; }
  // Delay of the calls, for callers that simulate it. The store itself does not wait.
  void SetDelay(Duration call_delay) { this->delay = call_delay; }
  Duration GetDelay() const { return this->delay; }
  // The next `count` swaps or lease calls take effect, but their responses are lost.
  void LoseSwapResponses(std::uint32_t count) { this->lost_swap_responses += count; }
  void LoseLeaseResponses(std::uint32_t count) { this->lost_lease_responses += count; }

  // Saves the current entries and restores them later, as a restore from a backup does. The
  // revision counter is not reset, so that no revision is used for two values.
  void SaveState() { this->saved_entries = this->entries; }
  void RestoreSavedState() { this->entries = this->saved_entries; }

  const StoreCallCounts& GetCounts() const { return this->counts; }
  // Returns the entry without counting a call.
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

  // Removes expired leases and their keys.
  void ExpireLeases(TimePoint now);
  StoreEntry Find(const std::string& key) const;

  std::map<std::string, Entry> entries;
  std::map<std::string, Entry> saved_entries;
  std::map<std::uint64_t, TimePoint> lease_ends;
  std::vector<PendingWatch> watches;
  StoreCallCounts counts;
  std::uint64_t last_revision = 0;
  std::uint64_t last_lease_id = 0;
  std::uint64_t last_watch_id = 0;
  bool down = false;
  Duration delay{};
  std::uint32_t lost_swap_responses = 0;
  std::uint32_t lost_lease_responses = 0;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_STORE_H_
