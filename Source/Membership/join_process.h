#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_JOIN_PROCESS_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_JOIN_PROCESS_H_

#include <optional>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "Core/time_point.h"

namespace lacewingbridge {

// Call ListMembers at the address. On success merge the list, then call HandleMembers.
struct JoinAskPeer {
  std::string address;
};
// Probe these hosts of this daemon's data centre. Their datagrams carry version stamps.
struct JoinProbeMembers {
  std::vector<std::string> hosts;
};
// Read the seed addresses of the data centre from the store, then call HandleStoreSeeds.
struct JoinReadStoreSeeds {};
// Read the head, which names the newest version, from the store, then call HandleStoreHead.
struct JoinReadStoreHead {};

using JoinAction =
    std::variant<JoinAskPeer, JoinProbeMembers, JoinReadStoreSeeds, JoinReadStoreHead>;

// The startup of a daemon that holds no version yet. The daemon may serve requests once it
// has a response of the store, or version stamps of a majority of the members of its data
// centre. Before that it could serve a version older than one that an earlier process on
// its host has served.
//
// The class does no input or output. Tick returns the actions to perform.
class JoinProcess {
 public:
  // Only peers are asked during this time; after it the store is asked as well.
  static constexpr Duration kStoreDelay = std::chrono::seconds(2);
  // A random delay up to this is added, so that 225 daemons of a data centre that restart
  // together do not call the store at the same time.
  static constexpr Duration kStoreJitter = std::chrono::seconds(5);
  // A daemon without any other member in its data centre can only ask the store. It needs
  // no jitter, because one daemon per data centre does not overload the store.
  static constexpr Duration kStoreDelayAlone = std::chrono::milliseconds(500);
  static constexpr Duration kRetryInterval = std::chrono::seconds(1);
  static constexpr Duration kMaxStoreRetryInterval = std::chrono::seconds(30);
  static constexpr std::size_t kPeersPerAttempt = 2;

  // The seeds are control addresses of peers. This daemon's own address is removed from them.
  JoinProcess(std::vector<std::string> seeds, std::string_view own_address, TimePoint now,
              std::mt19937_64& random);

  // Returns the actions that are due. The peers are the hosts of this daemon's data centre
  // other than its own, as the member table lists them.
  std::vector<JoinAction> Tick(const std::vector<std::string>& peers, TimePoint now,
                               std::mt19937_64& random);

  // A peer has returned its list of members.
  void HandleMembers() { this->peer_responded = true; }
  // Adds the unknown addresses to the seeds.
  void HandleStoreSeeds(std::vector<std::string> addresses);
  // The store has returned its head.
  void HandleStoreHead() { this->store_responded = true; }
  // A datagram with a version stamp was received from this host. Hosts that Tick does not
  // list as peers do not count.
  void RecordMemberStamp(const std::string& host) { this->hosts_with_stamp.insert(host); }

  // Whether the daemon may serve requests. Never becomes false again.
  bool IsReady() const { return this->ready; }

 private:
  // Advances the first read of the store if no other member is known in the data centre.
  void CheckAlone(const std::vector<std::string>& peers, TimePoint now);
  bool HasMajority(const std::vector<std::string>& peers) const;
  void AskSeeds(std::vector<JoinAction>& actions);

  std::vector<std::string> seeds;
  std::string own_address;
  std::size_t next_seed = 0;
  std::set<std::string> hosts_with_stamp;
  bool peer_responded = false;
  bool store_responded = false;
  bool ready = false;
  TimePoint next_ask;
  TimePoint next_store;
  std::optional<TimePoint> alone_since;
  Duration store_retry_interval = kRetryInterval;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_JOIN_PROCESS_H_
