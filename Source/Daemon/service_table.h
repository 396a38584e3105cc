#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_TABLE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Admission/admission_limiter.h"
#include "Core/sharded.h"
#include "Daemon/service_runtime.h"
#include "dump.h"
#include "membership.h"

namespace lacewingbridge {

class RouteSnapshot;
struct LimitRule;

// Request state of all services, in shards by service name. Each shard has its own lock, so all
// functions are thread-safe.
class ServiceTable {
 public:
  ServiceTable(std::string_view own_data_centre, std::string_view own_region,
               std::size_t shard_count);

  // Updates the services from a new snapshot. Services that it no longer has are removed once
  // they have no requests.
  void ApplySnapshot(const RouteSnapshot& snapshot, std::span<const MemberRecord> members,
                     TimePoint now);

  // Calls action(runtime) under the lock of the service's shard. The service is created
  // when it is not known yet.
  template <typename Action>
  decltype(auto) WithService(std::string_view service, TimePoint now, Action&& action) {
    return this->shards.WithShard(GetHash(service), [&](Shard& shard) -> decltype(auto) {
      return action(this->FindOrAdd(shard, service, now));
    });
  }

  // Takes a token of a limit rule. Returns false if the limit is reached.
  bool TryTakeLimit(const LimitRule& limit, TimePoint now);

  // Refuses queued requests whose deadline has passed, and admits requests to slots that have
  // become usable. Called periodically.
  void ExpireQueues(TimePoint now);

  // Wakes the threads of the requests that a change of the queue has admitted or refused.
  static void NotifyWaiters(ServiceRuntime& runtime, const AdmissionRelease& release);

  // Adds strikes and responses received from other daemons. Returns how many requests they
  // quarantined.
  std::size_t MergeEvidence(std::span<const QuarantineEvidence> strikes, TimePoint now);
  // Takes up to max_count strikes and responses that are to be sent to other daemons.
  std::vector<QuarantineEvidence> TakeEvidence(TimePoint now, std::size_t max_count);

  std::vector<ServiceDump> DumpServices(TimePoint now);
  std::uint64_t CountQuarantineEntries();

 private:
  struct Shard {
    std::map<std::string, ServiceRuntime, std::less<>> services;
    std::map<std::string, AdmissionLimiter, std::less<>> limiters;
  };

  static std::uint64_t GetHash(std::string_view name);
  ServiceRuntime& FindOrAdd(Shard& shard, std::string_view service, TimePoint now);

  std::string data_centre;
  std::string region;
  Sharded<Shard> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_SERVICE_TABLE_H_
