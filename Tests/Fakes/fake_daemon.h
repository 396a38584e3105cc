#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_DAEMON_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_DAEMON_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Core/time_point.h"
#include "Fakes/fake_network.h"
#include "Membership/member_prober.h"
#include "Membership/member_table.h"
#include "Spread/spread_node.h"
#include "Spread/spread_progress.h"
#include "Spread/spread_relay.h"
#include "membership.h"

namespace lacewingbridge {

// Runs the membership and spread modules as the daemon does, on the fake network and with
// the real encoding.
class FakeDaemon {
 public:
  FakeDaemon(MemberRecord self, FakeNetwork& fake_network, std::uint64_t seed);

  const std::string& GetAddress() const { return this->table.GetSelf().control_address; }
  void Tick(TimePoint now);
  void Deliver(const FakePacket& packet, TimePoint now);
  // Makes the daemon hold this version, if it is newer than the held one.
  void Hold(const VersionStamp& stamp, const std::optional<RulesDeltaScript>& delta, TimePoint now);
  // Whether the membership module has reported this event.
  bool HasSeen(Event event) const;

  MemberTable table;
  MemberProber prober;
  SpreadNode node;
  SpreadRelay relay;
  SpreadProgress progress;
  SpreadRelayRole role;
  std::vector<MemberEvent> events;
  // Number of fetches of a version from a peer.
  std::uint64_t fetches = 0;
  // Number of these from a peer in another region.
  std::uint64_t cross_region_fetches = 0;

 private:
  void Run(std::vector<MemberAction> actions, TimePoint now);
  void Run(std::vector<SpreadAction> actions, TimePoint now);
  void Run(std::vector<RelayAction> actions, TimePoint now);
  void Perform(SendDatagram send, TimePoint now);
  void Perform(MemberEvent event, TimePoint now);
  void Perform(SpreadApply apply, TimePoint now);
  void Perform(SpreadFetch fetch, TimePoint now);
  void Perform(RelayCall call, TimePoint now);
  void Perform(RelayAddSource source, TimePoint now);
  void DeliverDatagram(const FakePacket& packet, TimePoint now);
  void HandleFetch(const FakePacket& packet, TimePoint now);
  void DeliverFetchReply(const FakePacket& packet, TimePoint now);
  void HandleExchange(const FakePacket& packet, TimePoint now);
  void DeliverExchangeReply(const FakePacket& packet, TimePoint now);
  void MergeProgress(const std::vector<DataCentreProgress>& list, TimePoint now);

  FakeNetwork* network;
  std::mt19937_64 random;
  std::string fetch_host;
  std::string fetch_address;
  std::string exchange_data_centre;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_DAEMON_H_
