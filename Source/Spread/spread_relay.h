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
  // Time between two exchanges with the same data centre: 1 s in the convergence profile, 5 s in
  // the bytes profile.
  Duration interval = std::chrono::seconds(1);
  // Shortest time between any two exchanges. It takes precedence over `interval`, because one
  // exchange is about 2 KB and a daemon may send 4 KB/s.
  Duration min_gap = std::chrono::seconds(1);
  // Time to wait for a version from a watcher of the same region before it is fetched over a region
  // link.
  Duration link_wait = std::chrono::milliseconds(500);
  // Additional wait of the other data centres of a region, so that the one ranked first can fetch
  // the version over the region link before them.
  Duration sibling_wait = std::chrono::seconds(1);
  Duration call_timeout = std::chrono::seconds(2);
  // Number of failed calls after which the relay continues with the next data centre. The one that
  // failed then counts as unreachable for some exchanges.
  std::size_t max_attempts = 3;
  // Number of daemons of a data centre in the same region that receive the push of a new version.
  std::size_t push_addresses = 2;
  // Number of seed addresses that are kept for each data centre.
  std::size_t max_seeds = 8;
  // Number of sources in other regions that wait for link_wait to pass; further ones are dropped.
  std::size_t max_waiting = 16;
};

// Whether this daemon watches the store, and whether it can reach the store.
struct SpreadRelayRole {
  bool watching = false;
  bool store_reachable = true;
};

// Call RelayExchange at the address, then call HandleReply or HandleFailure.
struct RelayCall {
  std::string data_centre;
  std::string address;
  RelayExchangeRequest request;
};

// Pass the source to SpreadNode::AddSource.
struct RelayAddSource {
  SpreadSource source;
};

using RelayAction = std::variant<SendDatagram, RelayCall, RelayAddSource, SpreadApply>;

// Exchanges versions, members and progress between data centres. The data centres of one region
// are called siblings. The sibling that is ranked first, or the first reachable one, uses the links
// to other regions; the others exchange with it. The class makes no calls itself: the methods
// return actions that the caller performs. Not synchronized.
class SpreadRelay {
 public:
  explicit SpreadRelay(SpreadRelayOptions relay_options) : options(relay_options) {}

  // Whether this daemon exchanges with other data centres: the watcher and the collector do.
  static bool IsRelay(const MemberTable& table, const SpreadRelayRole& role);
  // Returns the data centre that uses the links of the region to other regions.
  static std::string GetFirstDataCentre(const MemberTable& table, std::string_view region);

  // Sets the addresses that are used while no member of that data centre is known.
  void SetSeeds(std::string_view data_centre, std::string_view region,
                std::span<const std::string> addresses);

  // Starts the next exchange when it is due, ends a call that timed out, and releases sources whose
  // wait has passed.
  std::vector<RelayAction> Tick(const MemberTable& table, const SpreadNode& node,
                                const SpreadProgress& progress, const SpreadRelayRole& role,
                                TimePoint now, std::mt19937_64& random);

  // Announces a new version to the data centres with which this relay exchanges. The datagrams to
  // other regions contain the delta only while the store is unreachable, because otherwise the
  // watchers there read the version from the store.
  std::vector<RelayAction> HandleHeld(const MemberTable& table, const SpreadNode& node,
                                      const SpreadRelayRole& role, TimePoint now,
                                      std::mt19937_64& random);

  // Handles the stamp and the delta of a datagram from another data centre.
  std::vector<RelayAction> HandleDatagram(const MemberTable& table, const SpreadNode& node,
                                          const GossipDatagram& datagram, TimePoint now);

  // Returns the reply to an exchange that another data centre started. The caller merges the
  // members of the request into the table before this call.
  RelayExchangeReply BuildReply(const MemberTable& table, const SpreadNode& node,
                                const SpreadProgress& progress, const RelayExchangeRequest& request,
                                TimePoint now) const;

  // Handles the end of the call to this data centre. The caller merges the members and the progress
  // of the reply before this call.
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
  // The outstanding exchange. Its first call carries only the digest of each data centre. If some
  // differ, a second one carries bucket hashes and the differing members (with_buckets).
  struct Call {
    std::string data_centre;
    std::string address;
    TimePoint started;
    std::size_t attempts = 0;
    bool with_buckets = false;
  };
  // A source in another region that is not used before `due`.
  struct WaitingSource {
    SpreadSource source;
    TimePoint due;
  };
  using Actions = std::vector<RelayAction>;

  // Returns the digests of the reply that differ from those of the table. A data centre that the
  // reply lacks is included with an empty digest.
  static std::vector<DataCentreDigest> ListDifferences(const MemberTable& table,
                                                       const RelayExchangeReply& reply);
  // Returns the region of each data centre that is known from members or seeds.
  std::map<std::string, std::string> ListDataCentres(const MemberTable& table) const;
  // Returns the data centres with which this one exchanges.
  std::vector<std::string> ListPartners(const MemberTable& table, TimePoint now) const;
  Actions PushHeld(const MemberTable& table, const SpreadNode& node, const std::string& data_centre,
                   bool sibling, bool with_delta, std::mt19937_64& random) const;
  std::vector<DataCentreDigest> MakeDifferingDigests(const MemberTable& table) const;
  // Returns the address of a random daemon of the data centre, other than `except` if there is
  // another; empty if none is known.
  std::string PickAddress(const MemberTable& table, std::string_view data_centre,
                          std::string_view except, std::mt19937_64& random) const;
  bool IsUnreachable(std::string_view data_centre, TimePoint now) const;
  void StartCall(const MemberTable& table, const SpreadNode& node, const SpreadProgress& progress,
                 Call next, TimePoint now, std::mt19937_64& random, Actions& actions);
  // Uses a source of the same region at once, and one of another region after a wait.
  void OfferSource(const MemberTable& table, std::string_view region, SpreadSource source,
                   TimePoint now, Actions& actions);
  // Uses the sources whose wait has passed and drops those whose version is no longer newer.
  void ReleaseWaiting(const SpreadNode& node, TimePoint now, Actions& actions);

  SpreadRelayOptions options;
  std::map<std::string, Seeds, std::less<>> seeds;
  std::optional<TimePoint> last_exchange;
  std::string last_partner;
  std::optional<Call> call;
  // The digests of the last reply that differed from those of the table.
  std::vector<DataCentreDigest> differing;
  // When the last exchange with a data centre failed.
  std::map<std::string, TimePoint, std::less<>> failed_at;
  std::vector<WaitingSource> waiting;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_RELAY_H_
