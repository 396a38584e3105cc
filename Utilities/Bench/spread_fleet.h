#ifndef LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_FLEET_H_
#define LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Daemon/cluster_node.h"
#include "Watch/watch_election.h"
#include "spread_network.h"
#include "spread_store.h"

namespace lacewingbridge {

// Daemons in injected time: each one a ClusterNode and a WatchElection over the network
// and the store. Rules are held as the number of a version of the store.
class SpreadFleet {
 public:
  SpreadFleet(SpreadNetwork& shared_network, SpreadStore& shared_store, std::size_t size,
              const std::string& profile, std::uint64_t seed);

  // When each daemon came to hold the version or a newer one; the latest of them, or
  // nothing while one of them holds an older one.
  std::optional<TimePoint> GetConvergence(std::size_t number, std::optional<std::size_t> region);
  // Puts the store's newest version in force on one daemon, which alone has heard of it.
  void HoldNewest(std::size_t index) { this->Hold(*this->nodes[index], this->store.GetNumber()); }
  std::size_t CountReady();
  std::size_t CountKnownMembers();
  // Processor time of all nodes for gossip and of the elections.
  Duration GetProcessorTime() const { return this->processor_time; }

 private:
  struct Node {
    std::size_t data_centre = 0;
    std::string scope;
    std::string address;
    std::unique_ptr<ClusterNode> cluster;
    std::unique_ptr<WatchElection> election;
    std::vector<WatchMember> members;
    std::size_t held = 0;
    // When each version came into force; an entry per version that was skipped, too.
    std::vector<TimePoint> held_at;
    TimePoint acting_until;
    bool watching = false;
    bool calling = false;
    bool store_reachable = true;
    std::uint64_t election_round = 0;
  };

  void AddNode(std::size_t index, std::size_t size, const std::string& profile);
  template <typename Action>
  auto Measure(Action&& action);
  void Tick(Node& node);
  void Perform(Node& node, const ClusterActions& actions);
  void PerformOne(Node& node, const SendDatagram& action);
  void PerformOne(Node& node, const SpreadApply& action);
  void PerformOne(Node& node, const SpreadFetch& action);
  void PerformOne(Node& node, const RelayCall& action);
  void PerformOne(Node& node, const JoinAskPeer& action);
  void PerformOne(Node& node, const JoinReadStoreSeeds& action);
  void PerformOne(Node& node, const JoinReadStoreHead& action);
  template <typename Action>
  void PerformOne(Node& /*node*/, const Action& /*action*/) {}

  // Calls perform(peer) at the peer and reply(size, result) back here.
  Node* FindNode(const std::string& address);
  void Hold(Node& node, std::size_t number);
  void RunElection(Node& node, const WatchEvent& event);
  void PerformDecision(Node& node, const WatchDecision& decision);
  void WakeElection(Node& node, TimePoint when);
  void WatchHead(Node& node);
  void HandleHead(Node& node, std::size_t number);
  bool IsActing(const Node& node) const { return this->network.GetNow() < node.acting_until; }

  SpreadNetwork& network;
  SpreadStore& store;
  bool region_scope;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<std::string, Node*> by_address;
  Duration processor_time{};
  bool measuring = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_UTILITIES_BENCH_SPREAD_FLEET_H_
