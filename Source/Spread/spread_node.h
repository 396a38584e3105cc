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
  // Number of peers that receive a push of a new version: 4 in the convergence profile, 2 in the
  // bytes profile.
  std::size_t fan_out = 4;
  // Time after which a fetch without a result is given up and another source is used.
  Duration fetch_timeout = std::chrono::seconds(2);
  // Shortest time between two pushes to the same peer that reports an older version. The push of a
  // new version to random peers does not wait for it.
  Duration push_interval = std::chrono::seconds(1);
  std::size_t max_sources = 8;
  // Number of peers for which the time of the last push is kept. While all entries are recent, a
  // peer without an entry receives no push in reply to its older stamp.
  std::size_t max_recent_pushes = 256;
};

// A daemon that is known to hold a version. If only its address is known, `host` contains the
// address.
struct SpreadSource {
  std::string host;
  std::string address;
  VersionStamp stamp;
};

// Apply the delta to the held version and offer the result to the VersionHolder.
struct SpreadApply {
  RulesDeltaScript delta;
  SpreadSource source;
};

// Call FetchRules at the source, then call HandleFetched or HandleFetchFailed. `have` is the stamp
// of the version that this daemon holds.
struct SpreadFetch {
  SpreadSource source;
  VersionStamp have;
};

using SpreadAction = std::variant<SendDatagram, SpreadApply, SpreadFetch>;

// Spreads versions within a data centre. It pushes a version once to random peers when this daemon
// first holds it. Daemons that the pushes miss are found by comparing the stamps in all datagrams.
// It sends nothing itself: the methods return actions that the caller performs. Not synchronized.
class SpreadNode {
 public:
  explicit SpreadNode(SpreadNodeOptions node_options) : options(node_options) {}

  // Called when this daemon holds a new version. The push contains the delta from the version's
  // parent if the datagram stays within its size limit. Otherwise receivers fetch the version.
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

  // Handles the stamp and the delta of a datagram from the same data centre. Other datagrams are
  // ignored here; SpreadRelay handles them.
  std::vector<SpreadAction> HandleDatagram(const MemberTable& table, const GossipDatagram& datagram,
                                           TimePoint now, std::mt19937_64& random);

  // Adds a daemon from which this version can be fetched, and starts a fetch if none is
  // outstanding.
  std::vector<SpreadAction> AddSource(SpreadSource source, TimePoint now, std::mt19937_64& random);

  // Called when a fetch received a response, whether or not it contained a newer version.
  std::vector<SpreadAction> HandleFetched(std::string_view host, TimePoint now,
                                          std::mt19937_64& random);
  std::vector<SpreadAction> HandleFetchFailed(std::string_view host, TimePoint now,
                                              std::mt19937_64& random);
  std::vector<SpreadAction> Tick(TimePoint now, std::mt19937_64& random);

  // Returns the stamp of the version that this daemon holds.
  const VersionStamp& GetHeld() const { return this->held; }
  // Whether a peer has reported a newer version than this one.
  bool KnowsNewer(const VersionStamp& stamp) const;
  // Returns the delta from the parent of the held version if it fits into a datagram.
  const std::optional<RulesDeltaScript>& GetDelta() const { return this->delta; }

  // Makes a push datagram that reports this stamp as held, without a delta.
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
  // Records a push to the host at this time. Returns false and records nothing if the last push to
  // the host is too recent or there is no capacity for another entry.
  bool TryRecordPush(std::string_view host, TimePoint now);
  // Adds a source of a newer version. If the list is full, the source of the oldest version is
  // replaced.
  void RememberSource(SpreadSource source);
  void DropSource(std::string_view host);
  void StartFetch(TimePoint now, std::mt19937_64& random, Actions& actions);

  SpreadNodeOptions options;
  VersionStamp held;
  // Newest version that a peer has reported while this daemon held an older one.
  VersionStamp newest_reported;
  std::optional<RulesDeltaScript> delta;
  // Peers that hold a newer version than this daemon.
  std::vector<SpreadSource> sources;
  std::optional<Fetch> fetch;
  // Time of the last push to each host.
  std::map<std::string, TimePoint, std::less<>> recent_pushes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_SPREAD_SPREAD_NODE_H_
