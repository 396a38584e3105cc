#ifndef LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_

#include <atomic>
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
#include "Routing/weighted_round_robin.h"
#include "Workspaces/table_proof.h"
#include "mesh.h"

namespace lacewingbridge {

// Whether an offered route table was applied or was not newer than the one in force.
enum class TableOffer { kApplied, kOlder };

// State about routes and peers that the threads of a daemon share: the version in force, the hosts,
// and the peers and the retry budget of each service. Services and routes are in shards, each under
// its own lock, so all methods may be called from any thread.
class MeshState {
 public:
  MeshState(const MeshIdentity& daemon_identity, const RetryBound& fleet_bound);

  const MeshIdentity& GetIdentity() const { return this->identity; }

  // Null until a version is known.
  std::shared_ptr<const RouteIndex> GetIndex() const;
  std::uint64_t GetTableVersion() const;

  // Age of the newest proof that the version in force is the newest; empty without one that is
  // young enough. See TableProof.
  std::optional<Duration> GetProofAge(TimePoint now) const;
  // Whether API keys of the version in force may be served to requests that have arrived by now.
  // The key has to be looked up in a version that was read after this call, or in the same one.
  bool IsTableProven(TimePoint now) const;
  // Asks for a new proof without waiting for it.
  void RequestProof() { this->proof_requested = true; }
  // Returns whether RequestProof was called since the last call.
  bool TakeProofRequest() { return this->proof_requested.exchange(false); }
  // Sets the time from the acknowledgement of a removal until a key must not be served; 0: no
  // proofs are needed.
  void SetRevokeBound(Duration bound);
  // Empty if no proofs are needed, because there is no bound or the version has no workspaces.
  std::optional<Duration> GetProofBound() const;
  // When the call of the newest proof was sent, of whatever age.
  std::optional<TimePoint> GetProvenAt() const;
  // Records that the answer of the store to a call that was sent at the time returned this version
  // as the newest.
  void RecordNewestVersion(TimePoint sent, std::uint64_t version);
  // Records the proof in the response to a request that this daemon sent to another one.
  void RecordPeerProof(TimePoint sent, std::uint64_t version, std::optional<std::uint32_t> age_ms);
  // Applies a newer version as a whole. A version that is not newer changes nothing.
  Result<TableOffer> OfferTable(RouteTable table);

  void MergeHost(TimePoint now, const HostRecord& record);
  void RemoveHost(TimePoint now, std::string_view host);
  void ReplaceHosts(TimePoint now, std::span<const HostRecord> records);
  // Has to be called regularly.
  void DropRemovedHosts(TimePoint now);
  std::vector<HostRecord> GetHosts() const;
  // Changes whenever the hosts change, so that those who use the list need not copy it before.
  std::uint64_t GetHostsGeneration() const { return this->hosts_generation; }
  // Returns what another daemon compares with its own state.
  PeerProgress GetProgress(TimePoint now) const;
  // Fills in the version in force and its proof.
  void FillVersion(TimePoint now, HopReport& report) const;

  // Chooses the service that runs the next request of the route.
  std::string PickDestination(const HostRoute& route, std::mt19937_64& random);
  // Returns when a caller of this host first sent the request; see UnservedRequests.
  TimePoint FindFirstArrival(TimePoint now, std::string_view route, std::uint64_t fingerprint);
  void RecordUnserved(TimePoint first_arrival, std::string_view route, std::uint64_t fingerprint);
  // Moving average of the response sizes of the route; 0 before the first response.
  double GetResponseBytes(std::string_view route);
  void RecordResponseBytes(std::string_view route, std::uint64_t bytes);

  // Sets the retry bound of the whole fleet. The number of daemons in it is filled in here.
  void SetRetryBound(const RetryBound& fleet_bound);
  // Counts a request of this host for the retry budget; see FleetRetryBudget::RecordRequest.
  void RecordRequest(TimePoint now, std::string_view service, double repeat_share);
  // Whether the retry budgets have room for the calls of so many repeated runs of the local target;
  // see FleetRetryBudget::HasRoomForCalls.
  bool HasRoomForCalls(TimePoint now, double repeated_runs, double runs);
  std::optional<HopChoice> ChooseHop(TimePoint now, std::string_view service,
                                     const HopRequirements& requirements,
                                     std::span<const std::string> excluded,
                                     std::mt19937_64& random);
  void RecordHopStart(std::string_view service, std::string_view peer_address);
  // Ends a hop of a request. If there is no report, the hop failed, unless this
  // daemon ended it itself.
  void RecordHopEnd(TimePoint now, std::string_view service, const WorkspaceWork& work,
                    std::string_view peer_address, const HopReport* report, bool failed);
  // Decides with the retry budget of the service what follows the end of a hop.
  ProgressDecision DecideNext(TimePoint now, std::string_view service, const HopEnd& end,
                              RequestProgress& progress);
  std::optional<Duration> EstimateMinWait(TimePoint now, std::string_view service,
                                          const WorkspaceWork& work);
  // See ShareRefusals and HopPlacement.
  std::size_t CountShareRefusals(TimePoint now, std::string_view service,
                                 const WorkspaceWork& work);
  Duration GetShareWait(TimePoint now, std::string_view service, const WorkspaceWork& work);
  bool IsBeyondShare(TimePoint now, std::string_view service, const WorkspaceWork& work,
                     std::span<const std::string> excluded);

 private:
  // There are few services and routes; the shards only reduce lock contention between threads.
  static constexpr std::size_t kShardCount = 8;
  // Weight of the newest response size in the moving average.
  static constexpr double kResponseBytesWeight = 0.05;

  struct ServiceState {
    HopPlacement placement;
    FleetRetryBudget budget;
  };
  struct ServiceShard {
    std::map<std::string, ServiceState, std::less<>> services;
  };
  struct RouteShard {
    WeightedRoundRobin round_robin;
    std::map<std::string, double, std::less<>> response_bytes;
    UnservedRequests unserved_requests;
  };

  // The caller holds index_mutex.
  bool NeedsProof() const;
  std::uint64_t GetVersion() const;
  std::optional<std::uint32_t> GetProofAgeMs(TimePoint now) const;

  template <typename Action>
  decltype(auto) WithService(std::string_view service, Action&& action);
  // The caller holds hosts_mutex. The locks of the shards are taken one at a time.
  void PublishHosts();

  const MeshIdentity identity;
  mutable std::mutex index_mutex;
  std::shared_ptr<const RouteIndex> index;
  // Under the same lock as the version that it is about.
  TableProof proof;
  std::atomic<bool> proof_requested = false;
  mutable std::mutex hosts_mutex;
  HostDirectory directory;
  std::atomic<std::uint64_t> hosts_generation = 0;
  RetryBound retry_bound;
  Sharded<ServiceShard> services;
  Sharded<RouteShard> routes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_MESH_STATE_H_
