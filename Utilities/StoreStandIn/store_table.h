#ifndef LACEWINGBRIDGE_UTILITIES_STORESTANDIN_STORE_TABLE_H_
#define LACEWINGBRIDGE_UTILITIES_STORESTANDIN_STORE_TABLE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

#include "store.h"

namespace lacewingbridge {

// Keys, leases, faults and call counts of the stand-in for the platform's store.
// All keys share one lock: the stand-in serves a few hundred calls a second.
class StoreTable {
 public:
  using Clock = std::chrono::steady_clock;

  StoreGetReply Get(const StoreGetRequest& request);

  // Empty when the injected fault says that the answer is lost.
  std::optional<StoreSwapReply> Swap(const StoreSwapRequest& request);

  StoreLeaseReply Lease(const StoreLeaseRequest& request);

  // Waits without holding up other calls.
  StoreWatchReply Watch(const StoreWatchRequest& request);

  StoreCallCounts GetCounts();

  void SetFaults(const StoreFaults& new_faults);
  StoreFaults GetFaults();

  // Remembers all keys, or returns to what was remembered: a store that lost state.
  void SaveCheckpoint();
  void RestoreCheckpoint();

  // Ends all waiting watches, for shutdown.
  void Stop();

 private:
  struct Record {
    StoreEntry entry;
    std::uint64_t lease_id = 0;
  };

  void RemoveLapsed(Clock::time_point now);
  StoreEntry FindEntry(const std::string& key);
  std::optional<Clock::time_point> FindNextLapse() const;

  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Record> records;
  std::map<std::string, Record> checkpoint;
  std::map<std::uint64_t, Clock::time_point> leases;
  std::uint64_t last_revision = 0;
  std::uint64_t last_lease_id = 0;
  StoreFaults faults;
  StoreCallCounts counts;
  bool stopped = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_STORESTANDIN_STORE_TABLE_H_
