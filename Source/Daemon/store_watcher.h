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

// Watches the store for the scope of this daemon while its lease lasts: one thread for
// the election, one that waits for changes of the head.
class StoreWatcher {
 public:
  struct Hooks {
    // Live members of the scope.
    std::function<std::vector<WatchMember>()> list_members;
    // Lists of seeds to keep at the store, by data centre.
    std::function<std::vector<std::pair<std::string, std::vector<std::string>>>()> list_seeds;
    // A version or a delta was read; returns when it was offered to this daemon.
    std::function<void(RulesVersion version)> offer;
    std::function<bool(const RulesDeltaScript& delta)> offer_delta;
    // Whether another data centre of the region fetches bodies over the region link.
    std::function<bool()> has_first_sibling;
  };

  StoreWatcher(const Settings& given, std::string watch_scope, StoreHttpClient& client,
               RulesState& rules_state, ClaimService& claim_service, Hooks given_hooks);
  ~StoreWatcher();
  StoreWatcher(const StoreWatcher&) = delete;
  StoreWatcher& operator=(const StoreWatcher&) = delete;

  void Start();
  void Stop();

  // The held version changed; a thread that waits for a sibling's copy looks again.
  void NotifyHeld();

  // A version came from another data centre before the scope's own watcher brought it.
  void NoteDoubt();

  bool IsWatching();
  bool IsStoreReachable() const { return this->store_reachable.load(); }
  const std::string& GetScope() const { return this->scope; }
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
  void HandleHead(const StoredHead& stored);
  std::optional<RepairEvent> PerformRepair(const RepairAction& action);
  std::optional<RepairEvent> Repair(const RepairNothing& action);
  std::optional<RepairEvent> Repair(const RepairFetch& action);
  std::optional<RepairEvent> Repair(const RepairWriteBody& action);
  std::optional<RepairEvent> Repair(const RepairRecordDisplaced& action);
  std::optional<RepairEvent> Repair(const RepairSwapHead& action);
  std::optional<RepairEvent> Repair(const RepairReadHead& action);
  std::optional<RepairEvent> Repair(const RepairWaitUntil& action);

  // Duties of the watcher besides the head: owner map and seeds.
  void PerformDuties(bool acting);
  // Event to hand to the election when no answer is outstanding.
  WatchEvent NextEvent(bool members_reported, std::vector<WatchMember>& members);
  bool TakeDoubt();
  void KeepOwnerMap();
  // Writes the map to the store; it is read again first after a lost answer or race.
  void WriteOwnerMap(const ClaimOwnerMap& map);
  void KeepSeeds();

  bool IsStopped();
  // Returns false when the watcher was stopped.
  bool SleepUntil(TimePoint time);
  bool WaitForVersion(const VersionStamp& stamp, Duration limit);
  void NoteStoreAnswer(bool answered);
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
  bool doubted = false;
  TimePoint acting_until;
  std::vector<DisplacedVersion> displaced;

  std::atomic<bool> store_reachable{true};
  std::mt19937_64 election_random;
  std::mt19937_64 repair_random;
  // Used by the election thread only.
  std::optional<std::uint64_t> owners_revision;
  TimePoint next_seeds;
  std::vector<std::pair<std::string, std::vector<std::string>>> written_seeds;
  // Used by the head thread only.
  StoreRepair repair;
  std::thread election_thread;
  std::thread head_thread;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_STORE_WATCHER_H_
