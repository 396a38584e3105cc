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
  Duration probe_interval = std::chrono::seconds(1);
  Duration indirect_after = std::chrono::milliseconds(300);
  MemberSuspicionsOptions suspicions;
  // Ticks further apart than this mean that this daemon itself was paused.
  Duration pause_threshold = std::chrono::seconds(1);
  // Shortest time between two direct questions to suspects.
  Duration check_interval = std::chrono::milliseconds(250);
  // Shortest time between two pushes of urgent updates.
  Duration push_interval = std::chrono::milliseconds(250);
  std::size_t indirect_peers = 3;
  std::size_t push_fan_out = 4;
};

// The front end fills in the held stamp and packs updates before it sends.
struct SendDatagram {
  std::string address;
  GossipDatagram datagram;
};

using MemberAction = std::variant<SendDatagram, MemberEvent>;

// Failure detector for the own data centre: probes one peer per interval, asks others
// to probe a silent peer, and suspects it before it counts as dead.
class MemberProber {
 public:
  // The front end calls Tick about this often.
  static constexpr Duration kTickInterval = std::chrono::milliseconds(100);

  explicit MemberProber(MemberProberOptions prober_options)
      : options(prober_options), suspicions(prober_options.suspicions) {}

  std::vector<MemberAction> Tick(MemberTable& table, TimePoint now, std::mt19937_64& random);

  std::vector<MemberAction> HandleDatagram(MemberTable& table, const GossipDatagram& datagram,
                                           std::string_view from_address, TimePoint now);

  // A connection to the host was refused: its machine answers, its process does not.
  std::vector<MemberAction> HandleRefused(MemberTable& table, std::string_view host, TimePoint now);

  // Merges records from any source and reports what changed.
  std::vector<MemberAction> MergeRecords(MemberTable& table, std::span<const MemberRecord> records,
                                         TimePoint now);

  bool IsDistrusted() const { return this->suspicions.IsDistrusted(); }

 private:
  struct Probe {
    std::string host;
    std::uint64_t id = 0;
    TimePoint sent;
    bool indirect_sent = false;
  };
  // A probe on behalf of another daemon.
  struct RelayedProbe {
    std::string requester_address;
    std::uint64_t requester_probe_id = 0;
    TimePoint sent;
  };
  using Actions = std::vector<MemberAction>;

  void SkipPause(TimePoint now);
  void CheckProbe(MemberTable& table, TimePoint now, std::mt19937_64& random, Actions& actions);
  void SendIndirect(const MemberTable& table, std::mt19937_64& random, Actions& actions);
  void StartProbe(const MemberTable& table, TimePoint now, std::mt19937_64& random,
                  Actions& actions);
  void CheckSuspect(const MemberTable& table, TimePoint now, Actions& actions);
  void PushUrgent(MemberTable& table, TimePoint now, std::mt19937_64& random, Actions& actions);
  void Suspect(MemberTable& table, std::string_view host, TimePoint now, bool refused,
               Actions& actions);
  void HandleProbeRequest(const MemberTable& table, const GossipDatagram& datagram,
                          std::string_view from_address, TimePoint now, Actions& actions);
  void HandleAck(const MemberTable& table, const GossipDatagram& datagram, Actions& actions);
  // The records of the suspected members as this daemon knows them, marked suspect.
  static std::vector<MemberRecord> ExpandSuspicions(const MemberTable& table,
                                                    const GossipDatagram& datagram);
  GossipDatagram MakeDatagram(const MemberTable& table, GossipKind kind) const;
  std::vector<std::string> PickPeers(const MemberTable& table, std::string_view except,
                                     std::size_t count, std::mt19937_64& random) const;

  MemberProberOptions options;
  std::optional<TimePoint> last_tick;
  std::optional<TimePoint> last_probe;
  std::optional<TimePoint> last_push;
  std::optional<TimePoint> last_check;
  bool push_pending = false;
  std::optional<Probe> probe;
  std::uint64_t next_probe_id = 1;
  std::vector<std::string> round;
  MemberSuspicions suspicions;
  std::map<std::uint64_t, RelayedProbe> relayed_probes;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_MEMBER_PROBER_H_
