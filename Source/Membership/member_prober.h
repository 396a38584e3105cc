#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_PROBER_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_PROBER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "Core/time_point.h"
#include "Membership/member_suspicions.h"
#include "Membership/member_table.h"
#include "events.h"
#include "membership.h"

namespace lacewingbridge {

struct MemberProberOptions {
  // Time between two probes, and the time limit of each.
  Duration probe_interval = std::chrono::seconds(1);
  // Other peers are asked to probe a peer that has not acknowledged a probe for this long.
  Duration indirect_after = std::chrono::milliseconds(300);
  MemberSuspicionsOptions suspicions;
  // If more time passes between two ticks, this daemon itself was paused.
  Duration pause_threshold = std::chrono::seconds(1);
  // Shortest time between two additional probes of suspects.
  Duration suspect_probe_interval = std::chrono::milliseconds(250);
  // Shortest time between two pushes of urgent updates.
  Duration push_interval = std::chrono::milliseconds(250);
  // Number of peers that are asked for an indirect probe.
  std::size_t indirect_peers = 3;
  // Number of peers that a push is sent to.
  std::size_t push_fan_out = 4;
};

// The caller adds the stamp of the held version and packs member updates before it sends
// the datagram.
struct SendDatagram {
  std::string address;
  GossipDatagram datagram;
};

using MemberAction = std::variant<SendDatagram, MemberEvent>;

// Failure detector for the members of this daemon's data centre. It probes one peer per
// interval and asks other peers to probe a peer that does not respond. A peer that still does
// not respond becomes suspect, and dead if it does not refute the suspicion in time.
//
// The class does no input or output. Its functions return the actions to perform.
class MemberProber {
 public:
  // The caller calls Tick about this often.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

  explicit MemberProber(MemberProberOptions prober_options)
      : options(prober_options), suspicions(prober_options.suspicions) {}

  std::vector<MemberAction> Tick(MemberTable& table, TimePoint now, std::mt19937_64& random);

  // Merges the member updates of a datagram and handles the probe, request or
  // acknowledgement that it carries. Responses go to from_address.
  std::vector<MemberAction> HandleDatagram(MemberTable& table, const GossipDatagram& datagram,
                                           std::string_view from_address, TimePoint now);

  // A connection to the host was refused: its operating system responds, but no daemon
  // process listens there.
  std::vector<MemberAction> HandleRefused(MemberTable& table, std::string_view host, TimePoint now);

  // Merges records from any source into the table. Returns an event for each change.
  std::vector<MemberAction> MergeRecords(MemberTable& table, std::span<const MemberRecord> records,
                                         TimePoint now);

  // See MemberSuspicions::IsDistrusted.
  bool IsDistrusted() const { return this->suspicions.IsDistrusted(); }

 private:
  struct Probe {
    std::string host;
    std::uint64_t id = 0;
    TimePoint sent;
    bool indirect_sent = false;
  };
  // A probe that this daemon sent at the request of another one.
  struct RelayedProbe {
    std::string requester_address;
    std::uint64_t requester_probe_id = 0;
    TimePoint sent;
  };
  using Actions = std::vector<MemberAction>;

  // Discards the state that is invalid after a pause of this daemon's own process.
  void HandleOwnPause(TimePoint now);
  // Requests indirect probes for a late probe, and suspects the peer of an expired one.
  void CheckProbe(MemberTable& table, TimePoint now, std::mt19937_64& random, Actions& actions);
  void SendIndirect(const MemberTable& table, std::mt19937_64& random, Actions& actions);
  void StartProbe(const MemberTable& table, TimePoint now, std::mt19937_64& random,
                  Actions& actions);
  // Sends an additional probe to a suspect whose time to refute runs out.
  void ProbeSuspect(const MemberTable& table, TimePoint now, Actions& actions);
  // Sends urgent updates to some peers without waiting for the next probe.
  void PushUrgent(MemberTable& table, TimePoint now, std::mt19937_64& random, Actions& actions);
  // Starts to suspect a member. Refused says that a connection to it was refused.
  void Suspect(MemberTable& table, std::string_view host, TimePoint now, bool refused,
               Actions& actions);
  void HandleProbeRequest(const MemberTable& table, const GossipDatagram& datagram,
                          std::string_view from_address, TimePoint now, Actions& actions);
  void HandleAck(const MemberTable& table, const GossipDatagram& datagram, Actions& actions);
  // Completes the suspicions of a datagram to records: returns the records that this daemon
  // has of the suspected members, marked as suspect. Skips suspicions of other versions of a
  // record than it has.
  static std::vector<MemberRecord> ExpandSuspicions(const MemberTable& table,
                                                    const GossipDatagram& datagram);
  GossipDatagram MakeDatagram(const MemberTable& table, GossipKind kind) const;
  // Returns up to count random hosts of this daemon's data centre other than its own and
  // except.
  std::vector<std::string> PickPeers(const MemberTable& table, std::string_view except,
                                     std::size_t count, std::mt19937_64& random) const;

  MemberProberOptions options;
  std::optional<TimePoint> last_tick;
  std::optional<TimePoint> last_probe;
  std::optional<TimePoint> last_push;
  std::optional<TimePoint> last_suspect_probe;
  bool push_pending = false;
  std::optional<Probe> probe;
  std::uint64_t next_probe_id = 1;
  // Hosts that still have to be probed before all are probed again; the last one is next.
  std::vector<std::string> probe_order;
  MemberSuspicions suspicions;
  // By the id of the probe that this daemon sent.
  std::map<std::uint64_t, RelayedProbe> relayed_probes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_PROBER_H_
