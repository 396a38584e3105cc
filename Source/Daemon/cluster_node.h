#ifndef LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_NODE_H_
#define LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_NODE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/result.h"
#include "Daemon/cluster_action.h"
#include "Membership/join_process.h"
#include "Membership/member_prober.h"
#include "Membership/member_sync.h"
#include "Membership/member_table.h"
#include "Membership/target_registry.h"
#include "Quarantine/quarantine_relay.h"
#include "Spread/spread_node.h"
#include "Spread/spread_progress.h"
#include "Spread/spread_relay.h"
#include "Watch/watch_messages.h"
#include "peer.h"
#include "settings.h"

namespace lacewingbridge {

// The shard of state that daemons share with each other: members, spread of versions,
// progress and the join. All of it is under one lock, because each datagram touches
// most of it. Every input returns the actions for the caller to perform without the lock.
class ClusterNode {
 public:
  static Result<std::unique_ptr<ClusterNode>> Create(const Settings& settings,
                                                     std::uint64_t incarnation, TimePoint now,
                                                     std::uint64_t random_seed);

  ClusterActions Tick(TimePoint now);
  ClusterActions HandleDatagram(const GossipDatagram& datagram, std::string_view from,
                                TimePoint now);

  // This daemon now holds this version.
  ClusterActions HandleHeld(const VersionStamp& stamp, std::optional<RulesDeltaScript> delta,
                            TimePoint now);
  ClusterActions HandleFetchEnd(std::string_view host, bool succeeded, TimePoint now);

  ClusterActions HandleRelayReply(std::string_view data_centre, const RelayExchangeReply& reply,
                                  TimePoint now);
  ClusterActions HandleRelayFailure(std::string_view data_centre, TimePoint now);
  // Merges what the caller sent and fills in the reply.
  ClusterActions AnswerRelay(const RelayExchangeRequest& request, RelayExchangeReply& reply,
                             TimePoint now);

  ClusterActions HandleMembers(const ListMembersReply& reply, TimePoint now);
  ClusterActions AnswerMembers(const ListMembersRequest& request, ListMembersReply& reply,
                               TimePoint now);
  void HandleStoreSeeds(std::vector<std::string> addresses);
  void HandleStoreHead();
  // Nothing listens at the control address of the host.
  ClusterActions HandleRefused(std::string_view host, TimePoint now);

  ClusterActions Announce(const TargetAnnouncement& announcement, TimePoint now);
  ClusterActions StartDrain(TimePoint now);

  void SetRole(const SpreadRelayRole& new_role);
  void SetClaimEpoch(std::uint64_t epoch);
  // Strikes for the next datagram. They stay until one has carried them; NeedsStrikes
  // tells when the next ones are due.
  bool NeedsStrikes();
  void SetStrikes(std::vector<QuarantineStrike> outgoing, TimePoint now);

  bool IsReady();
  MemberRecord GetOwnRecord();
  // Whether another data centre of the region is the one that uses its region links.
  bool HasFirstSibling();
  bool IsDistrusted();
  std::vector<MemberRecord> ListMembers();
  // Live members of the scope of the watch: the own data centre or the own region.
  std::vector<WatchMember> ListScopeMembers(bool region_scope);
  std::vector<DataCentreProgress> ListProgress(TimePoint now);
  // Whether a member other than this host is neither draining nor suspect.
  bool HasOtherActiveMember();
  bool IsOwnDataCentre(std::string_view host);
  std::string FindControlAddress(std::string_view host);
  // Control addresses of up to count live members of the own data centre.
  std::vector<std::string> ListSeedAddresses(std::size_t count);

 private:
  ClusterNode(const Settings& given, MemberTable members, TimePoint now, std::uint64_t seed);

  template <typename Actions>
  void Append(Actions&& actions, TimePoint now, ClusterActions& result);
  void AppendAction(SendDatagram action, TimePoint now, ClusterActions& result);
  void AppendAction(MemberEvent action, TimePoint now, ClusterActions& result);
  void AppendAction(RelayCall action, TimePoint now, ClusterActions& result);
  void AppendAction(const RelayAddSource& action, TimePoint now, ClusterActions& result);
  void AppendAction(const JoinProbeMembers& action, TimePoint now, ClusterActions& result);
  // Any other action is the caller's to perform.
  template <typename Action>
  void AppendAction(Action action, TimePoint now, ClusterActions& result);

  void MergeMembers(std::span<const MemberRecord> records, TimePoint now, ClusterActions& result);
  // Continues under a larger incarnation when an earlier process of this host had one.
  void CheckOwnName(std::span<const MemberRecord> records, ClusterActions& result);

  // Merges the list that a joining daemon got. Its senders know these members already, so
  // hosts that are new here are not gossiped on.
  void MergeListed(std::span<const MemberRecord> records, TimePoint now, ClusterActions& result);

  // Exchanges lists of members with a sender that is not in the table.
  void AskStranger(std::string_view address, TimePoint now, ClusterActions& result);
  void MergeProgress(std::span<const DataCentreProgress> entries, TimePoint now);
  void CheckOwnerMap(std::uint64_t epoch, std::string_view address, ClusterActions& result);
  void UpdateTargets(const std::vector<TargetRegistry::Change>& changes, ClusterActions& result);
  void CheckMembersChanged(ClusterActions& result);
  static void HearStrikes(std::span<const QuarantineStrike> heard, ClusterActions& result);
  // Hash of all members; also brings the hash of the own data centre up to date.
  std::uint64_t HashMembers();

  std::mutex mutex;
  Settings settings;
  std::mt19937_64 random;
  MemberTable table;
  MemberProber prober;
  SpreadNode spread;
  SpreadRelay relay;
  SpreadProgress progress;
  TargetRegistry targets;
  JoinProcess join;
  SpreadRelayRole role;
  std::uint64_t claim_epoch = 0;
  std::vector<QuarantineStrike> strikes;
  // Whether a datagram has carried them.
  bool strikes_sent = false;
  bool members_touched = true;
  std::uint64_t members_hash = 0;
  std::uint64_t centre_hash = 0;
  MemberSync member_sync;
  QuarantineRelay strike_relay;
  TimePoint next_stranger_ask;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_NODE_H_
