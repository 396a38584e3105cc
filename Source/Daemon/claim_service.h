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

// Owner side and transport of claims: the table in shards by key, the owner map, the
// hand-over to other owners, and the calls to the owners of keys.
class ClaimService {
 public:
  // Control address of a host, empty when the host is not known.
  using AddressFinder = std::function<std::string(std::string_view host)>;

  static Result<std::unique_ptr<ClaimService>> Create(const Settings& settings,
                                                      std::uint64_t incarnation, TimePoint now,
                                                      PeerClient& peers, WorkQueue& work,
                                                      AddressFinder find_address);

  // Owner side.
  ClaimReply AnswerClaim(const ClaimRequest& request, TimePoint now);
  ClaimDoneReply AnswerDone(const ClaimDoneRequest& request, TimePoint now);
  ClaimTransferReply AnswerTransfer(const ClaimTransferRequest& request, TimePoint now);
  ClaimOwnerMap AnswerOwnerMap(const ClaimOwnerMapRequest& request);

  // Caller side. Blocks for one call to the owner, at most for the limit; empty when
  // there was no answer.
  std::optional<ClaimReply> Ask(const ClaimRequest& request, Duration limit);
  // Sends the report now and repeats it for a few seconds until an owner recorded it.
  void Report(const ClaimDoneRequest& request);
  // Asks the peer for its owner map and adopts it when it is newer.
  void FetchMap(const std::string& address);
  // Asks the owner of the key for its map, after it refused a claim of another epoch.
  void RefreshMap(std::string_view key);
  std::uint64_t DrawAttemptId();

  // Owner map. Returns whether the map was newer.
  bool AdoptMap(const ClaimOwnerMap& map, TimePoint now);
  std::uint64_t GetEpoch();
  void NoteHost(std::string_view host, std::uint64_t incarnation, ClaimHostStatus status,
                TimePoint now);
  void NoteHeard(std::string_view host, TimePoint now);
  // Next map for the watcher to write to the store, if a change is due.
  std::optional<ClaimOwnerMap> Propose(bool store_has_no_map, TimePoint now);

  // Sends outstanding parts of hand-overs and queries; called periodically.
  void Tick(TimePoint now);
  // Whether this host owns no keys and has handed over all claims.
  bool IsReleased();

  std::size_t CountKeys();

 private:
  // How often and how long a report is repeated.
  static constexpr std::chrono::milliseconds kReportInterval{500};
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
  void RepeatReports(TimePoint now);
  void SendTransferPart(const std::string& to_host, TimePoint now);
  void SendQueries(TimePoint now);
  std::string FindOwner(std::string_view key);

  std::string host;
  std::uint64_t incarnation;
  PeerClient& peers;
  WorkQueue& work;
  AddressFinder find_address;
  ClaimShards shards;

  // Whether the host's status is news. Marking its claims walks through all of them, so
  // that is not done for each of 900 members at each change of one.
  bool RecordStatus(std::string_view noted_host, std::uint64_t noted_incarnation,
                    ClaimHostStatus status);

  // The map and what is decided once for all shards.
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
