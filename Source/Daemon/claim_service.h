#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CLAIM_SERVICE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CLAIM_SERVICE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "Claims/claim_isolation.h"
#include "Claims/claim_owner_planner.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_shards.h"
#include "Claims/claim_transfer.h"
#include "Core/result.h"
#include "Core/time_point.h"
#include "peer.h"
#include "settings.h"

namespace lacewingbridge {

class PeerClient;
class WorkQueue;

// Connects the claim components to the network. As owner, it holds the claim table in shards
// by key, the owner map and the handover of claims to other owners. As caller, it sends
// claims and reports to the owners of keys. All methods may be called from any thread.
class ClaimService {
 public:
  // Returns the control address of a host, or an empty string when the host is not known.
  using AddressFinder = std::function<std::string(std::string_view host)>;

  static Result<std::unique_ptr<ClaimService>> Create(const Settings& settings,
                                                      std::uint64_t incarnation, TimePoint now,
                                                      PeerClient& peers, WorkQueue& work,
                                                      AddressFinder find_address);

  // Owner side: handles the calls of other daemons.
  ClaimReply HandleClaim(const ClaimRequest& request, TimePoint now);
  ClaimDoneReply HandleClaimDone(const ClaimDoneRequest& request, TimePoint now);
  ClaimTransferReply HandleClaimTransfer(const ClaimTransferRequest& request, TimePoint now);
  // Returns an empty map unless the own map is newer than the one of the request.
  ClaimOwnerMap HandleOwnerMapRequest(const ClaimOwnerMapRequest& request);

  // Caller side. Sends the claim to the owner of its key and blocks for at most the limit.
  // Returns nothing when no valid response was received or no address of the owner is known.
  std::optional<ClaimReply> SendClaim(const ClaimRequest& request, Duration limit);
  // Reports the outcome of a request to the owner of its key; blocks for one call. If no owner
  // recorded the report, Tick sends it again for a few seconds.
  void Report(const ClaimDoneRequest& request);
  // Fetches the owner map from the peer and adopts it when it is newer. Blocks.
  void FetchMap(const std::string& address);
  // Fetches the owner map from the owner of the key, after that owner refused a claim because
  // the epochs differed. Blocks.
  void RefreshMap(std::string_view key);
  // Returns a random attempt id other than 0.
  std::uint64_t GenerateAttemptId();

  // Adopts the owner map if it is newer than the own one, and returns whether it was.
  bool AdoptMap(const ClaimOwnerMap& map, TimePoint now);
  std::uint64_t GetEpoch();
  // Records the status of a host. Claims of callers whose process has ended are marked so.
  void RecordHost(std::string_view host, std::uint64_t incarnation, ClaimHostStatus status,
                  TimePoint now);
  // Records that a message of the host was received, for the detection of a partition.
  void RecordMessageFrom(std::string_view host, TimePoint now);
  // Returns the next owner map for the watcher to write to the store, if a change is due.
  std::optional<ClaimOwnerMap> Propose(bool store_has_no_map, TimePoint now);

  // Sends outstanding parts of handovers, queries and reports. Called periodically; blocks
  // for the calls.
  void Tick(TimePoint now);
  // Whether this host owns no keys and has handed over all claims.
  bool IsReleased();

  std::size_t CountKeys();

 private:
  // Interval and number of the retries of a report.
  static constexpr std::chrono::milliseconds kReportRetryInterval{500};
  static constexpr int kReportAttempts = 10;

  struct PendingReport {
    ClaimDoneRequest request;
    int attempts_left = 0;
    TimePoint due;
  };

  ClaimService(const Settings& settings, std::uint64_t incarnation, TimePoint now,
               PeerClient& peer_client, WorkQueue& work_queue, AddressFinder finder,
               ClaimShards tables);

  bool SendReport(const ClaimDoneRequest& request);
  void RetryReports(TimePoint now);
  // Sends the next part of the handover to the host, if there is one.
  void SendTransferPart(const std::string& to_host, TimePoint now);
  // Asks each host whose handover this owner awaits which epoch its owner map has.
  void SendQueries(TimePoint now);
  // Returns an empty string when the map has no owner for the key.
  std::string FindOwner(std::string_view key);

  std::string host;
  std::uint64_t incarnation;
  PeerClient& peers;
  WorkQueue& work;
  AddressFinder find_address;
  ClaimShards shards;

  // Records the status and returns whether it differs from the recorded one. Marking the
  // claims of a host visits all claims, so it must not be done for each of 900 members
  // whenever one of them changes.
  bool RecordStatus(std::string_view noted_host, std::uint64_t noted_incarnation,
                    ClaimHostStatus status);

  // Guards the owner map and the state that is common to all shards.
  std::mutex map_mutex;
  ClaimOwnerView view;
  ClaimOwnerPlanner planner;
  ClaimTransfer transfer;
  ClaimIsolation isolation;
  std::map<std::string, std::pair<std::uint64_t, ClaimHostStatus>, std::less<>> statuses;

  std::mutex report_mutex;
  std::vector<PendingReport> reports;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLAIM_SERVICE_H_
