#ifndef LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>

#include "Core/sharded.h"
#include "Core/time_point.h"
#include "Membership/host_directory.h"
#include "Proxy/mesh_identity.h"
#include "Retry/fleet_retry_budget.h"
#include "Retry/request_progress.h"
#include "Retry/unserved_requests.h"
#include "Routing/hop_placement.h"
#include "Routing/route_index.h"
#include "Routing/split_rotation.h"
#include "mesh.h"

namespace lacewingbridge {

enum class TableOffer { kApplied, kOlder };

// What the threads of a daemon share about routes and peers: the version in force, the
// hosts, and for each service its peers and its retry budget. Services and routes are in
// shards, each under its own lock.
class MeshState {
 public:
  MeshState(const MeshIdentity& daemon_identity, const RetryBound& fleet_bound);

  const MeshIdentity& GetIdentity() const { return this->identity; }

  // Null until a version is known.
  std::shared_ptr<const RouteIndex> GetIndex() const;
  std::uint64_t GetTableVersion() const;
  // Takes a newer version over as a whole; an older one changes nothing.
  Result<TableOffer> OfferTable(RouteTable table);

  void MergeHost(TimePoint now, const HostRecord& record);
  void RemoveHost(TimePoint now, std::string_view host);
  void ReplaceHosts(TimePoint now, std::span<const HostRecord> records);
  // To be called regularly.
  void DropRemovedHosts(TimePoint now);
  std::vector<HostRecord> GetHosts() const;

  // Service that runs the next request of the route.
  std::string PickDestination(const HostRoute& route, std::mt19937_64& random);
  // When a caller of this host sent the request for the first time; see UnservedRequests.
  TimePoint FindFirstArrival(TimePoint now, std::string_view route, std::uint64_t fingerprint);
  void RecordUnserved(TimePoint first_arrival, std::string_view route, std::uint64_t fingerprint);
  double GetAnswerBytes(std::string_view route);
  void RecordAnswerBytes(std::string_view route, std::uint64_t bytes);

  // The bound of the whole fleet; the number of daemons is filled in here.
  void SetRetryBound(const RetryBound& fleet_bound);
  void RecordRequest(TimePoint now, std::string_view service);
  std::optional<HopChoice> ChooseHop(TimePoint now, std::string_view service, const HopNeed& need,
                                     std::span<const std::string> excluded,
                                     std::mt19937_64& random);
  void RecordHopStart(std::string_view service, std::string_view peer_address);
  // Without a report the hop failed, unless it was broken off here.
  void RecordHopEnd(TimePoint now, std::string_view service, std::string_view peer_address,
                    const HopReport* report, bool failed);
  ProgressDecision DecideNext(TimePoint now, std::string_view service, const HopEnd& end,
                              RequestProgress& progress);
  std::optional<Duration> EstimateReturn(TimePoint now, std::string_view service);

 private:
  // Services and routes are few; the locks only have to keep the shards' threads apart.
  static constexpr std::size_t kShardCount = 8;
  // Weight of the newest size of an answer in the moving one.
  static constexpr double kAnswerBytesWeight = 0.05;

  struct ServiceState {
    HopPlacement placement;
    FleetRetryBudget budget;
  };
  struct ServiceShard {
    std::map<std::string, ServiceState, std::less<>> services;
  };
  struct RouteShard {
    SplitRotation rotation;
    std::map<std::string, double, std::less<>> answer_bytes;
    UnservedRequests returning;
  };

  template <typename Action>
  decltype(auto) WithService(std::string_view service, Action&& action);
  // The caller holds the lock of the hosts; the locks of the shards are taken one by one.
  void PublishHosts();

  const MeshIdentity identity;
  mutable std::mutex index_mutex;
  std::shared_ptr<const RouteIndex> index;
  mutable std::mutex hosts_mutex;
  HostDirectory directory;
  RetryBound retry_bound;
  Sharded<ServiceShard> services;
  Sharded<RouteShard> routes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_
