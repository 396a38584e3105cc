#ifndef LACEWINGBRIDGE_TESTS_FAKES_FAKE_FLEET_H_
#define LACEWINGBRIDGE_TESTS_FAKES_FAKE_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Fakes/fake_daemon.h"
#include "Fakes/fake_network.h"

namespace lacewingbridge {

// A data centre of a simulated fleet.
struct FakeDataCentre {
  std::string name;
  std::string region;
  std::size_t daemon_count = 0;
};

// Daemons on one fake network in simulated time. All daemons know each other at the start.
class FakeFleet {
 public:
  FakeFleet(const std::vector<FakeDataCentre>& data_centres, std::uint64_t seed);

  // Advances the simulated time.
  void Run(Duration duration);
  // Runs until the condition holds. Returns false if it does not hold within the limit.
  bool RunUntil(Duration limit, const std::function<bool()>& condition);

  FakeDaemon& Get(std::size_t index) { return *this->daemons[index]; }
  std::size_t GetCount() const { return this->daemons.size(); }
  TimePoint GetNow() const { return this->now; }

  // A paused daemon does not tick, and receives its packets when it resumes.
  void SetPaused(std::size_t index, bool paused);
  // A daemon that is down does not tick, and loses the packets sent to it.
  void SetDown(std::size_t index, bool down);

  // Counts daemons that are neither down nor paused and satisfy the predicate.
  std::size_t Count(const std::function<bool(const FakeDaemon&)>& predicate) const;
  // Counts such daemons whose record of the host has this state.
  std::size_t CountState(std::string_view host, MemberState state) const;
  // Counts such daemons that hold the version with this number.
  std::size_t CountHolding(std::uint64_t number) const;

  static VersionStamp MakeStamp(std::uint64_t number);
  // Makes a delta from the previous version that inserts this number of bytes.
  static RulesDeltaScript MakeDelta(std::uint64_t number, std::size_t bytes);

  FakeNetwork network;

 private:
  void Step();

  TimePoint now;
  std::vector<std::unique_ptr<FakeDaemon>> daemons;
  std::map<std::string, std::size_t, std::less<>> index_by_address;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_TESTS_FAKES_FAKE_FLEET_H_
