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

// Holds the state that daemons exchange with each other: the members, the spread of rules
// versions, the progress of each data centre and the join of this daemon. One lock guards
// all of it, because each datagram touches most of it. ClusterNode does no I/O itself: each
// input returns the actions that the caller has to perform, after the lock was released.
// All methods may be called from any thread.
class ClusterNode {
 public:
  // Fails when the settings do not make a valid member record.
  static Result<std::unique_ptr<ClusterNode>> Create(const Settings& settings,
                                                     std::uint64_t incarnation, TimePoint now,
                                                     std::uint64_t random_seed);

  // Expires targets and members and performs the periodic work of gossip, spread and join.
  ClusterActions Tick(TimePoint now);
  // Handles a gossip datagram that was received from the address `from`.
  ClusterActions HandleDatagram(const GossipDatagram& datagram, std::string_view from,
                                TimePoint now);

  // Handles that this daemon now holds this version. The delta leads to it from the version
  // before, if one is available.
  ClusterActions HandleHeld(const VersionStamp& stamp, std::optional<RulesDeltaScript> delta,
                            TimePoint now);
  // Handles the end of a fetch of a version from the host.
  ClusterActions HandleFetchEnd(std::string_view host, bool succeeded, TimePoint now);

  // Handles the result of an exchange with a daemon of another data centre.
  ClusterActions HandleRelayReply(std::string_view data_centre, const RelayExchangeReply& reply,
                                  TimePoint now);
  ClusterActions HandleRelayFailure(std::string_view data_centre, TimePoint now);
  // Handles an exchange that a daemon of another data centre started: merges the state that
  // it sent and fills in the reply.
  ClusterActions HandleRelayRequest(const RelayExchangeRequest& request, RelayExchangeReply& reply,
                                    TimePoint now);

  // Merges the list of members that a peer sent in reply to a request of this daemon.
  ClusterActions HandleMembers(const ListMembersReply& reply, TimePoint now);
  // Merges the record of the peer that asks for the list of members and fills in the reply.
  ClusterActions HandleMembersRequest(const ListMembersRequest& request, ListMembersReply& reply,
                                      TimePoint now);
  // Results of the store reads that the join requested.
  void HandleStoreSeeds(std::vector<std::string> addresses);
  void HandleStoreHead();
  // Handles a refused connection: nothing listens at the control address of the host.
  ClusterActions HandleRefused(std::string_view host, TimePoint now);

  // Registers or updates a local target.
  ClusterActions Announce(const TargetAnnouncement& announcement, TimePoint now);
  // Marks this daemon as draining and runs the prober at once to gossip the change.
  ClusterActions StartDrain(TimePoint now);

  void SetRole(const SpreadRelayRole& new_role);
  // Sets the epoch of the claim owner map that this daemon holds. An older epoch is ignored.
  void SetClaimEpoch(std::uint64_t epoch);
  // Returns whether the caller should set new strikes: none are set, or a datagram has
  // carried those that are.
  bool NeedsStrikes();
  // Sets the strikes that the next datagrams carry.
  void SetStrikes(std::vector<QuarantineEvidence> outgoing, TimePoint now);

  // Whether the join is complete.
  bool IsReady();
  MemberRecord GetOwnRecord();
  // Whether the data centre that uses the links of the own region to other regions is another
  // one than the own data centre.
  bool HasFirstSibling();
  // Whether the prober distrusts this daemon's own view of the members.
  bool IsDistrusted();
  // Whether a newer version may be in force elsewhere without this daemon hearing of it: it
  // distrusts its own view, or has no recent report of another data centre.
  bool IsCutOff(TimePoint now);
  std::vector<MemberRecord> ListMembers();
  // Lists the live members of the scope of a store watch: the own region if region_scope is
  // set, the own data centre otherwise.
  std::vector<WatchMember> ListScopeMembers(bool region_scope);
  std::vector<DataCentreProgress> ListProgress(TimePoint now);
  // Whether a peer or another data centre has reported a newer version than this one.
  bool KnowsNewerVersion(const VersionStamp& version);
  // Whether a member other than this host is neither draining nor suspect.
  bool HasOtherActiveMember();
  bool IsOwnDataCentre(std::string_view host);
  // Returns an empty string when the host is not known.
  std::string FindControlAddress(std::string_view host);
  // Lists the control addresses of up to `count` live members of the own data centre.
  std::vector<std::string> ListSeedAddresses(std::size_t count);

 private:
  ClusterNode(const Settings& given, MemberTable members, TimePoint now, std::uint64_t seed);

  // Completes actions of the parts of this class, performs those that concern another part,
  // and appends those that the caller has to perform to the result.
  template <typename Actions>
  void Append(Actions&& actions, TimePoint now, ClusterActions& result);
  void AppendAction(SendDatagram action, TimePoint now, ClusterActions& result);
  void AppendAction(MemberEvent action, TimePoint now, ClusterActions& result);
  void AppendAction(RelayCall action, TimePoint now, ClusterActions& result);
  void AppendAction(const RelayAddSource& action, TimePoint now, ClusterActions& result);
  void AppendAction(const JoinProbeMembers& action, TimePoint now, ClusterActions& result);
  // Any other action is passed to the caller unchanged.
  template <typename Action>
  void AppendAction(Action action, TimePoint now, ClusterActions& result);

  void MergeMembers(std::span<const MemberRecord> records, TimePoint now, ClusterActions& result);
  // Continues under a larger incarnation when a record shows that another process with the
  // name of this host had a larger one than this process.
  void CheckOwnName(std::span<const MemberRecord> records, ClusterActions& result);

  // Merges a list of members that a peer sent. The daemon that sent it knows these members
  // already, so hosts that are new to this daemon are not gossiped further.
  void MergeListed(std::span<const MemberRecord> records, TimePoint now, ClusterActions& result);

  // Exchanges lists of members with the sender of a datagram that is not in the table.
  void RequestMemberExchange(std::string_view address, TimePoint now, ClusterActions& result);
  void MergeProgress(std::span<const DataCentreProgress> entries, TimePoint now);
  // Fetches the claim owner map from the address when its epoch is newer than the own one.
  void CheckOwnerMap(std::uint64_t epoch, std::string_view address, ClusterActions& result);
  void UpdateTargets(const std::vector<TargetRegistry::Change>& changes, ClusterActions& result);
  void CheckMembersChanged(ClusterActions& result);
  static void AppendReceivedStrikes(std::span<const QuarantineEvidence> received,
                                    ClusterActions& result);
  // Computes the hash of all members and updates centre_hash.
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
  std::vector<QuarantineEvidence> strikes;
  // Whether a datagram has carried the strikes.
  bool strikes_sent = false;
  // Whether the members may have changed since members_hash was computed.
  bool members_touched = true;
  // Hash of all members.
  std::uint64_t members_hash = 0;
  // Hash of the members of the own data centre.
  std::uint64_t centre_hash = 0;
  MemberSync member_sync;
  QuarantineRelay strike_relay;
  TimePoint next_member_exchange;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_DAEMON_CLUSTER_NODE_H_
