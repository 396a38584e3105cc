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

// Call ListMembers at the address, then report with HandleMembers or HandleFailure.
struct JoinAskPeer {
  std::string address;
};
// Probe these hosts of the own data centre to hear their stamps.
struct JoinProbeMembers {
  std::vector<std::string> hosts;
};
// Read the store's seeds of the data centre, then report with HandleStoreSeeds.
struct JoinReadStoreSeeds {};
// Read the store's head, then report with HandleStoreHead.
struct JoinReadStoreHead {};

using JoinAction =
    std::variant<JoinAskPeer, JoinProbeMembers, JoinReadStoreSeeds, JoinReadStoreHead>;

// Start of a daemon that holds nothing. It may serve once it has heard the store, or a
// majority of the members of its data centre: before that it could serve a version older
// than one that an earlier process of its host has served.
class JoinProcess {
 public:
  // Peers are asked for this long before the store is; the start of the wait is spread,
  // so that 225 daemons of a data centre that restart together do not call at once.
  static constexpr Duration kStoreAfter = std::chrono::seconds(2);
  static constexpr Duration kStoreJitter = std::chrono::seconds(5);
  // A daemon that finds no other one in its data centre has nobody else to ask; one of
  // each data centre is no herd.
  static constexpr Duration kStoreAfterAlone = std::chrono::milliseconds(500);
  static constexpr Duration kRetryInterval = std::chrono::seconds(1);
  static constexpr Duration kLongestStoreRetry = std::chrono::seconds(30);
  static constexpr std::size_t kPeersPerAttempt = 2;

  // The own address is left out of the seeds.
  JoinProcess(std::vector<std::string> seeds, std::string_view own_address, TimePoint now,
              std::mt19937_64& random);

  // Members of the own data centre other than this host, as the member table lists them.
  std::vector<JoinAction> Tick(const std::vector<std::string>& peers, TimePoint now,
                               std::mt19937_64& random);

  void HandleMembers() { this->peer_answered = true; }
  void HandleStoreSeeds(std::vector<std::string> addresses);
  void HandleStoreHead() { this->store_answered = true; }
  // A member of the own data centre was heard with its stamp.
  void RecordHeard(const std::string& host) { this->heard.insert(host); }

  // Stays true once it was reached.
  bool IsReady() const { return this->ready; }

 private:
  // Whether the wait for peers can end early.
  void CheckAlone(const std::vector<std::string>& peers, TimePoint now);
  bool HasMajority(const std::vector<std::string>& peers) const;
  void AskSeeds(std::vector<JoinAction>& actions);

  std::vector<std::string> seeds;
  std::string own_address;
  std::size_t next_seed = 0;
  std::set<std::string> heard;
  bool peer_answered = false;
  bool store_answered = false;
  bool ready = false;
  TimePoint next_ask;
  TimePoint next_store;
  std::optional<TimePoint> alone_since;
  Duration store_retry = kRetryInterval;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_JOIN_PROCESS_H_
