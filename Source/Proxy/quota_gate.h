#ifndef LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_GATE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_GATE_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/sharded.h"
#include "Core/time_point.h"
#include "Quota/credit_grants.h"
#include "Quota/credit_holder.h"
#include "Quota/grant_fence.h"
#include "Quota/granter_history.h"
#include "Quota/quota_limit.h"
#include "mesh.h"
#include "quota.h"

namespace lacewingbridge {

class MetricsRegistry;

// The quotas of the workspaces at this daemon: the credit that it holds for its own requests, and
// the credit that it grants to itself and to other daemons. Workspaces are in shards, each under
// its own lock, so all methods may be called from any thread. Workspaces without a rate have no
// state.
class QuotaGate {
 public:
  // Called, without any lock, when the wait of a request for credit ends.
  using Listener = std::function<void(const CreditTake&)>;

  // Result of Take; the ticket is set while the request waits.
  struct Entry {
    CreditTake take;
    std::uint64_t ticket = 0;
  };
  // An ask and the daemon that it has to be sent to; the address is empty for this daemon itself.
  struct OutgoingAsk {
    std::string peer_address;
    QuotaAsk ask;
  };

  // `holder` is drawn anew by each process.
  QuotaGate(std::string_view own_host, const QuotaBound& quota_bound, std::uint64_t holder,
            MetricsRegistry& metrics_registry);

  // Has to be called when the list of hosts may have changed.
  void HandleHosts(TimePoint now, std::span<const HostRecord> hosts);
  // Drops what is not used any longer. Has to be called regularly.
  void DropIdle(TimePoint now);
  // See GrantFence.
  void RecordRenewal(TimePoint sent, TimePoint now, std::uint64_t lease, Duration lease_time);
  // See GrantFence::RecordEarlierProcess.
  void RecordEarlierProcess(TimePoint sent);
  void RecordLeaseEnd();
  // See GrantFence::HasSettled.
  bool HasSettled(TimePoint now, std::uint64_t lease) const;

  // Takes credit for a request. A listener is made only if the request waits, and called later
  // unless the request leaves before.
  Entry Take(TimePoint now, const MeshWorkspace& workspace, std::uint64_t version,
             const std::function<Listener()>& make_listener);
  // The request waits no longer. Returns false if its listener has been or is being called.
  bool Leave(std::string_view workspace, std::uint64_t ticket);
  // See CreditHolder::Return.
  void Return(TimePoint now, TimePoint taken_at, std::string_view workspace);

  // One step of a round of asks; see CreditHolder.
  std::optional<OutgoingAsk> MakeAsk(TimePoint now, std::string_view workspace);
  void HandleReply(TimePoint now, std::string_view workspace, const QuotaReply* reply);

  // Answers the ask of a daemon. `own` is the workspace as this daemon knows it; null if it does
  // not.
  QuotaReply Answer(TimePoint now, const QuotaAsk& ask, const MeshWorkspace* own,
                    std::uint64_t version);

 private:
  // Only reduces lock contention between threads.
  static constexpr std::size_t kShardCount = 8;

  struct Holding {
    CreditHolder holder;
    // Limit of the newest version with which a request came.
    QuotaLimit limit;
    std::map<std::uint64_t, Listener> listeners;
  };
  struct HoldingShard {
    std::map<std::string, Holding, std::less<>> holdings;
  };

  std::shared_ptr<const GranterHistory> GetHistory() const;
  // Calls the listeners of requests that no longer wait. Must be called without a lock.
  struct Call {
    Listener listener;
    CreditTake take;
  };
  static std::vector<Call> TakeCalls(Holding& holding, std::span<const CreditEnd> ends);

  const std::string host;
  const QuotaBound bound;
  const std::uint64_t holder_id;
  MetricsRegistry& metrics;
  std::atomic<std::uint64_t> next_ticket{1};
  mutable std::mutex mutex;
  std::shared_ptr<const GranterHistory> history;
  GrantFence fence;
  TimePoint idle_dropped_at;
  Sharded<HoldingShard> holdings;
  Sharded<CreditGrants> grants;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_QUOTA_GATE_H_
