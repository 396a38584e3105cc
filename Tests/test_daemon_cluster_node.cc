// Guards against quarantine strikes that never reach other data centres, and against members
// that a daemon never learns of, because gossip sends each record a bounded number of times.
#include <criterion/criterion.h>

#include <variant>
#include <vector>

#include "Daemon/cluster_node.h"
#include "Membership/member_sync.h"
#include "Quarantine/quarantine_relay.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

using std::chrono::seconds;

const TimePoint kStart{seconds(1000)};

Settings MakeSettings(const std::string& host, const std::string& data_centre) {
  Settings settings;
  settings.host = host;
  settings.region = "carolinas";
  settings.data_centre = data_centre;
  settings.control_address = "10.0.0." + host.substr(5) + ":7501";
  settings.profile = "convergence";
  settings.probe_interval_ms = 1000;
  settings.suspicion_ms = 5000;
  return settings;
}

std::unique_ptr<ClusterNode> MakeNode(const std::string& host, const std::string& data_centre) {
  return std::move(GetValue(ClusterNode::Create(MakeSettings(host, data_centre), 100, kStart, 1)));
}

QuarantineEvidence MakeStrike(std::uint64_t fingerprint) {
  return {fingerprint, "10.0.0.9:9000", 7};
}

template <typename Action>
std::vector<Action> SelectActions(const ClusterActions& actions) {
  std::vector<Action> selected;
  for (const ClusterAction& action : actions) {
    if (const auto* one = std::get_if<Action>(&action)) {
      selected.push_back(*one);
    }
  }
  return selected;
}

GossipDatagram MakeAck(const std::string& host, std::uint64_t members_hash) {
  GossipDatagram datagram;
  datagram.kind = GossipKind::kAck;
  datagram.sender_host = host;
  datagram.sender_incarnation = 100;
  datagram.members_hash = members_hash;
  return datagram;
}

}  // namespace

Test(cluster_node, relays_strikes_to_other_data_centres) {
  const auto first = MakeNode("host-1", "dc-1");
  const auto second = MakeNode("host-2", "dc-2");
  first->SetStrikes({MakeStrike(42)}, kStart);
  RelayExchangeReply reply;
  first->HandleRelayRequest({}, reply, kStart + seconds(5));
  cr_assert_eq(reply.strikes.size(), 1U);
  const auto received = SelectActions<ClusterStrikesReceived>(
      second->HandleRelayReply("dc-1", reply, kStart + seconds(5)));
  cr_assert_eq(received.size(), 1U);
  QuarantineEvidence expected = MakeStrike(42);
  expected.age_ms = 5000;
  cr_assert(received[0].strikes[0] == expected);
}

Test(cluster_node, asks_a_peer_whose_members_hash_differs_for_five_seconds) {
  const auto node = MakeNode("host-1", "dc-1");
  ListMembersReply listed;
  listed.members = {MakeNode("host-2", "dc-1")->GetOwnRecord()};
  node->HandleMembers(listed, kStart);
  node->Tick(kStart);
  std::size_t asked = 0;
  for (int second = 0; second < 60; ++second) {
    const ClusterActions actions =
        node->HandleDatagram(MakeAck("host-2", 12345), "10.0.0.2:7501", kStart + seconds(second));
    asked += SelectActions<JoinAskPeer>(actions).size();
  }
  // The first request follows after the hashes differed for 5 s, the second one 30 s later.
  cr_assert_eq(asked, 2U);
}

Test(cluster_node, knows_of_newer_versions_that_peers_and_data_centres_report) {
  const auto node = MakeNode("host-1", "dc-1");
  ListMembersReply listed;
  listed.members = {MakeNode("host-2", "dc-1")->GetOwnRecord()};
  node->HandleMembers(listed, kStart);
  const VersionStamp older{2, "b"};
  const VersionStamp newer{3, "c"};
  cr_assert_not(node->KnowsNewerVersion(older));
  GossipDatagram datagram = MakeAck("host-2", 12345);
  datagram.held = newer;
  node->HandleDatagram(datagram, "10.0.0.2:7501", kStart);
  cr_assert(node->KnowsNewerVersion(older));
  cr_assert_not(node->KnowsNewerVersion(newer));
  const auto other = MakeNode("host-3", "dc-1");
  datagram = MakeAck("host-9", 12345);
  DataCentreProgress& progress = datagram.progress.emplace_back();
  progress.data_centre = "dc-2";
  progress.lowest = newer;
  other->HandleDatagram(datagram, "10.0.0.9:7501", kStart);
  cr_assert(other->KnowsNewerVersion(older));
  cr_assert_not(other->KnowsNewerVersion(newer));
}

// A daemon whose own data centre is cut off as a whole still hears all members that it probes.
Test(cluster_node, is_cut_off_without_recent_progress_of_another_data_centre) {
  const auto node = MakeNode("host-1", "dc-1");
  ListMembersReply listed;
  listed.members = {MakeNode("host-2", "dc-1")->GetOwnRecord()};
  node->HandleMembers(listed, kStart);
  cr_assert_not(node->IsCutOff(kStart));
  listed.members = {MakeNode("host-3", "dc-2")->GetOwnRecord(),
                    MakeNode("host-4", "dc-3")->GetOwnRecord()};
  node->HandleMembers(listed, kStart);
  cr_assert(node->IsCutOff(kStart));
  GossipDatagram datagram = MakeAck("host-2", 12345);
  for (const char* data_centre : {"dc-2", "dc-3"}) {
    DataCentreProgress progress;
    progress.data_centre = data_centre;
    progress.age_ms = 5000;
    datagram.progress = {progress};
    cr_assert(node->IsCutOff(kStart));
    node->HandleDatagram(datagram, "10.0.0.2:7501", kStart);
  }
  cr_assert_not(node->IsCutOff(kStart + seconds(10)));
  cr_assert(node->IsCutOff(kStart + seconds(11)));
}

Test(member_sync, ignores_differences_shorter_than_five_seconds) {
  MemberSync sync;
  cr_assert_not(sync.HandleHash(1, 2, kStart));
  cr_assert_not(sync.HandleHash(1, 2, kStart + seconds(4)));
  cr_assert_not(sync.HandleHash(2, 2, kStart + seconds(5)));
  cr_assert_not(sync.HandleHash(1, 2, kStart + seconds(6)));
  cr_assert(sync.HandleHash(1, 2, kStart + seconds(11)));
}

Test(quarantine_relay, keeps_each_strike_once_and_for_a_bounded_time) {
  QuarantineRelay relay;
  for (std::uint64_t i = 0; i < 1000; ++i) {
    const std::vector<QuarantineEvidence> strikes = {MakeStrike(i), MakeStrike(i)};
    relay.Add(kStart, strikes);
  }
  cr_assert_eq(relay.List(kStart).size(), QuarantineRelay::kMaxStrikes);
  cr_assert(relay.List(kStart + QuarantineRelay::kRetentionTime + seconds(1)).empty());
}
