#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_STORE_WATCHER_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_STORE_WATCHER_H_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "Core/time_point.h"
#include "Daemon/store_http_client.h"
#include "Version/submit_messages.h"
#include "Watch/store_repair.h"
#include "Watch/watch_election.h"
#include "dump.h"
#include "peer.h"
#include "settings.h"

namespace lacewingbridge {

class ClaimService;
class RulesState;

// Takes part in the election of the one daemon that watches the store for its scope, and
// watches the store while this daemon holds the lease. One thread runs the election and
// maintains the owner map and the seeds; the other waits for changes of the head.
class StoreWatcher {
 public:
  struct Hooks {
    // Lists the live members of the scope.
    std::function<std::vector<WatchMember>()> list_members;
    // Lists the seed addresses to maintain in the store, by data centre.
    std::function<std::vector<std::pair<std::string, std::vector<std::string>>>()> list_seeds;
    // Offers a version that was read from the store to this daemon.
    std::function<void(RulesVersion version)> offer;
    // Offers a delta likewise. Returns false when the whole version has to be read.
    std::function<bool(const RulesDeltaScript& delta)> offer_delta;
    // Whether another data centre of the region is the one that fetches bodies over the region
    // link.
    std::function<bool()> has_first_sibling;
  };

  StoreWatcher(const Settings& given, std::string watch_scope, StoreHttpClient& client,
               RulesState& rules_state, ClaimService& claim_service, Hooks given_hooks);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  void Start();
  void Stop();

  // Tells the watcher that the held version changed. Wakes the thread that waits until another
  // data centre of the region has delivered a version.
  void NotifyHeld();

  // Records that a version arrived from another data centre before the watcher of the own
  // scope delivered it. The election then suspects that the watcher has failed.
  void RecordHolderSuspicion();

  // Whether this daemon currently watches the store for its scope.
  bool IsWatching();
  bool IsStoreReachable() const { return this->store_reachable.load(); }
  const std::string& GetScope() const { return this->scope; }
  // Lists the versions that this daemon has recorded in the store as displaced by another one.
  std::vector<DisplacedVersion> ListDisplaced();

 private:
  void RunElection();
  WatchEvent PerformCall(const WatchCall& call);
  WatchEvent Perform(const WatchNoCall& call);
  WatchEvent Perform(const WatchReadKey& call);
  WatchEvent Perform(const WatchGrantLease& call);
  WatchEvent Perform(const WatchRenewLease& call);
  WatchEvent Perform(const WatchSwapKey& call);

  void RunHeadWatch();
  // Compares the stored head with the held version and performs fetches and repairs until
  // none is left.
  void HandleHead(const StoredHead& stored);
  std::optional<RepairEvent> PerformRepair(const RepairAction& action);
  std::optional<RepairEvent> Repair(const RepairNothing& action);
  std::optional<RepairEvent> Repair(const RepairFetch& action);
  std::optional<RepairEvent> Repair(const RepairWriteBody& action);
  std::optional<RepairEvent> Repair(const RepairRecordDisplaced& action);
  std::optional<RepairEvent> Repair(const RepairSwapHead& action);
  std::optional<RepairEvent> Repair(const RepairReadHead& action);
  std::optional<RepairEvent> Repair(const RepairWaitUntil& action);

  // Maintains the owner map and the seeds in the store if this daemon is the watcher.
  void PerformDuties(bool acting);
  // Returns the next event for the election when there is no result of a call to report.
  WatchEvent NextEvent(bool members_reported, std::vector<WatchMember>& members);
  // Returns and clears whether the watcher of the scope is suspected to have failed.
  bool TakeHolderSuspicion();
  void MaintainOwnerMap();
  // Writes the map to the store. If the outcome is unknown or another daemon wrote first, the
  // stored map is read again before the next write.
  void WriteOwnerMap(const ClaimOwnerMap& map);
  void MaintainSeeds();

  bool IsStopped();
  // Returns false when the watcher is stopped.
  bool SleepUntil(TimePoint time);
  // Waits until this daemon holds the version or a newer one, for at most the limit. Returns
  // true also when the watcher is stopped.
  bool WaitForVersion(const VersionStamp& stamp, Duration limit);
  // Records whether a store call got a response, and logs when that changes.
  void RecordStoreCall(bool responded);
  // Records until when this daemon acts as watcher, and logs when it starts or stops acting.
  void SetActing(const WatchDecision& decision);

  const Settings& settings;
  std::string scope;
  StoreHttpClient& store;
  RulesState& rules;
  ClaimService& claims;
  Hooks hooks;

  std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
  bool holder_suspected = false;
  TimePoint acting_until;
  std::vector<DisplacedVersion> displaced;

  std::atomic<bool> store_reachable{true};
  std::mt19937_64 election_random;
  std::mt19937_64 repair_random;
  // The following are used by the election thread only.
  // Revision of the stored owner map; empty when the map has to be read first.
  std::optional<std::uint64_t> owners_revision;
  TimePoint next_seeds;
  std::vector<std::pair<std::string, std::vector<std::string>>> written_seeds;
  // The following is used by the head thread only.
  StoreRepair repair;
  std::thread election_thread;
  std::thread head_thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_STORE_WATCHER_H_
