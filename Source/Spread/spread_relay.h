#ifndef LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_RELAY_H_
#define LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_RELAY_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/time_point.h"
#include "Membership/member_digest.h"
#include "Membership/member_prober.h"
#include "Membership/member_table.h"
#include "Spread/spread_node.h"
#include "membership.h"
#include "peer.h"
#include "rules.h"

namespace lacewingbridge {

class SpreadProgress;

struct SpreadRelayOptions {
  // Time between two exchanges with the same data centre: 1 s in the convergence
  // profile, 5 s in the bytes profile.
  Duration interval = std::chrono::seconds(1);
  // Exchanges with any data centres are this far apart, even if the interval is then
  // exceeded: one exchange is about 2 KB, and a daemon has 4 KB/s.
  Duration min_gap = std::chrono::seconds(1);
  // Time for the version to arrive from the region's own watcher before it is fetched
  // over a region link.
  Duration link_wait = std::chrono::milliseconds(500);
  // Time that a region's first data centre has before its siblings use the region link.
  Duration sibling_wait = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(2);
  // Failed calls to one data centre before the next data centre's turn.
  std::size_t max_attempts = 3;
  std::size_t push_addresses = 2;
  std::size_t max_seeds = 8;
  std::size_t max_waiting = 16;
};

// What the daemon knows about its own part at the store.
struct SpreadRelayRole {
  bool watching = false;
  bool store_reachable = true;
};

// Call RelayExchange at the address, then report with HandleReply or HandleFailure.
struct RelayCall {
  std::string data_centre;
  std::string address;
  RelayExchangeRequest request;
};

// Give the source to SpreadNode::AddSource.
struct RelaySource {
  SpreadSource source;
};

using RelayAction = std::variant<SendDatagram, RelayCall, RelaySource, SpreadApply>;

// Exchanges versions, members and progress between data centres. Each region link is
// used by the region's data centre that is ranked first; its siblings ask it.
class SpreadRelay {
 public:
  explicit SpreadRelay(SpreadRelayOptions relay_options) : options(relay_options) {}

  static bool IsRelay(const MemberTable& table, const SpreadRelayRole& role);
  // Data centre that uses the links of the region.
  static std::string GetFirstDataCentre(const MemberTable& table, std::string_view region);

  // Addresses to use while no member of that data centre is known.
  void SetSeeds(std::string_view data_centre, std::string_view region,
                std::span<const std::string> addresses);

  std::vector<RelayAction> Tick(const MemberTable& table, const SpreadNode& node,
                                const SpreadProgress& progress, const SpreadRelayRole& role,
                                TimePoint now, std::mt19937_64& random);

  // Announces a newly held version to the other data centres that this relay serves.
  // Other regions get the delta only while the store is away, because otherwise their
  // own watchers bring the version.
  std::vector<RelayAction> HandleHeld(const MemberTable& table, const SpreadNode& node,
                                      const SpreadRelayRole& role, TimePoint now,
                                      std::mt19937_64& random);

  // Reacts to the stamp and the delta of a datagram from another data centre.
  std::vector<RelayAction> HandleDatagram(const MemberTable& table, const SpreadNode& node,
                                          const GossipDatagram& datagram, TimePoint now);

  // Answers another data centre. The caller has merged the request's members before.
  RelayExchangeReply Answer(const MemberTable& table, const SpreadNode& node,
                            const SpreadProgress& progress, const RelayExchangeRequest& request,
                            TimePoint now) const;

  // The caller has merged the reply's members and progress before.
  std::vector<RelayAction> HandleReply(const MemberTable& table, const SpreadNode& node,
                                       const SpreadProgress& progress, std::string_view data_centre,
                                       const RelayExchangeReply& reply, TimePoint now,
                                       std::mt19937_64& random);
  std::vector<RelayAction> HandleFailure(const MemberTable& table, const SpreadNode& node,
                                         const SpreadProgress& progress,
                                         std::string_view data_centre, TimePoint now,
                                         std::mt19937_64& random);

 private:
  struct Seeds {
    std::string region;
    std::vector<std::string> addresses;
  };
  struct Call {
    std::string data_centre;
    std::string address;
    TimePoint started;
    std::size_t attempts = 0;
    bool with_buckets = false;
  };
  struct WaitingSource {
    SpreadSource source;
    TimePoint due;
  };
  using Actions = std::vector<RelayAction>;

  // Digests of the reply that differ from the own ones, empty ones included.
  static std::vector<DataCentreDigest> ListDifferences(const MemberTable& table,
                                                       const RelayExchangeReply& reply);
  std::map<std::string, std::string> ListDataCentres(const MemberTable& table) const;
  std::vector<std::string> ListPartners(const MemberTable& table, TimePoint now) const;
  Actions PushHeld(const MemberTable& table, const SpreadNode& node, const std::string& data_centre,
                   bool sibling, bool with_delta, std::mt19937_64& random) const;
  std::vector<DataCentreDigest> MakeDifferingDigests(const MemberTable& table) const;
  std::string PickAddress(const MemberTable& table, std::string_view data_centre,
                          std::string_view except, std::mt19937_64& random) const;
  bool IsUnreachable(std::string_view data_centre, TimePoint now) const;
  void StartCall(const MemberTable& table, const SpreadNode& node, const SpreadProgress& progress,
                 Call next, TimePoint now, std::mt19937_64& random, Actions& actions);
  void OfferSource(const MemberTable& table, std::string_view region, SpreadSource source,
                   TimePoint now, Actions& actions);
  void ReleaseWaiting(const SpreadNode& node, TimePoint now, Actions& actions);

  SpreadRelayOptions options;
  std::map<std::string, Seeds, std::less<>> seeds;
  std::optional<TimePoint> last_exchange;
  std::string last_partner;
  std::optional<Call> call;
  // Digests of the last reply that differed from the own ones.
  std::vector<DataCentreDigest> differing;
  std::map<std::string, TimePoint, std::less<>> failed_at;
  std::vector<WaitingSource> waiting;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_RELAY_H_
