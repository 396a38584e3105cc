#ifndef LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_NODE_H_
#define LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_NODE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/time_point.h"
#include "Membership/gossip_packer.h"
#include "Membership/member_prober.h"
#include "Membership/member_table.h"
#include "membership.h"
#include "rules.h"

namespace lacewingbridge {

struct SpreadNodeOptions {
  // 4 in the convergence profile, 2 in the bytes profile.
  std::size_t fan_out = 4;
  Duration fetch_timeout = std::chrono::seconds(2);
  // Shortest time between two pushes to the same older peer.
  Duration push_interval = std::chrono::seconds(1);
  std::size_t max_sources = 8;
  std::size_t max_recent_pushes = 256;
};

// A daemon that was heard to hold a version. Where only its address is known, that
// stands for the host.
struct SpreadSource {
  std::string host;
  std::string address;
  VersionStamp stamp;
};

// Apply the delta to the held version and offer the result to the version holder.
struct SpreadApply {
  RulesDeltaScript delta;
  SpreadSource source;
};

// Call FetchRules at the source, then report with HandleFetched or HandleFetchFailed.
struct SpreadFetch {
  SpreadSource source;
  VersionStamp have;
};

using SpreadAction = std::variant<SendDatagram, SpreadApply, SpreadFetch>;

// Spreads versions within a data centre: pushes a version once when it is first held,
// and closes gaps by comparing the stamps in all datagrams.
class SpreadNode {
 public:
  explicit SpreadNode(SpreadNodeOptions node_options) : options(node_options) {}

  // The daemon now holds this version. The delta from its parent is pushed along if
  // the datagram keeps its size limit; otherwise receivers fetch.
  template <DatagramSizer Sizer>
  std::vector<SpreadAction> HandleHeld(const MemberTable& table, const VersionStamp& stamp,
                                       std::optional<RulesDeltaScript> new_delta, TimePoint now,
                                       std::mt19937_64& random, const Sizer& sizer) {
    if (new_delta.has_value()) {
      GossipDatagram datagram = MakePush(table, stamp);
      datagram.delta = new_delta;
      if (sizer(datagram) > kMaxDatagramBytes) {
        new_delta.reset();
      }
    }
    return this->PushHeld(table, stamp, std::move(new_delta), now, random);
  }

  // Reacts to the stamp and the delta of a datagram from the own data centre.
  // Datagrams from elsewhere belong to SpreadRelay.
  std::vector<SpreadAction> HandleDatagram(const MemberTable& table, const GossipDatagram& datagram,
                                           TimePoint now, std::mt19937_64& random);

  // A daemon outside the own data centre may be asked for this version.
  std::vector<SpreadAction> AddSource(SpreadSource source, TimePoint now, std::mt19937_64& random);

  // The call ended with an answer, whether or not it brought a newer version.
  std::vector<SpreadAction> HandleFetched(std::string_view host, TimePoint now,
                                          std::mt19937_64& random);
  std::vector<SpreadAction> HandleFetchFailed(std::string_view host, TimePoint now,
                                              std::mt19937_64& random);
  std::vector<SpreadAction> Tick(TimePoint now, std::mt19937_64& random);

  const VersionStamp& GetHeld() const { return this->held; }
  // The delta that fits into a datagram, if any.
  const std::optional<RulesDeltaScript>& GetDelta() const { return this->delta; }

  static GossipDatagram MakePush(const MemberTable& table, const VersionStamp& stamp);

 private:
  struct Fetch {
    SpreadSource source;
    TimePoint started;
  };
  using Actions = std::vector<SpreadAction>;

  Actions PushHeld(const MemberTable& table, const VersionStamp& stamp,
                   std::optional<RulesDeltaScript> new_delta, TimePoint now,
                   std::mt19937_64& random);
  void PushToOlder(const MemberTable& table, const MemberRecord& peer,
                   const VersionStamp& peer_stamp, TimePoint now, Actions& actions);
  bool IsPushDue(std::string_view host, TimePoint now);
  void RememberSource(SpreadSource source);
  void DropSource(std::string_view host);
  void StartFetch(TimePoint now, std::mt19937_64& random, Actions& actions);

  SpreadNodeOptions options;
  VersionStamp held;
  std::optional<RulesDeltaScript> delta;
  // Peers that hold a newer version than this daemon.
  std::vector<SpreadSource> sources;
  std::optional<Fetch> fetch;
  std::map<std::string, TimePoint, std::less<>> recent_pushes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_NODE_H_
