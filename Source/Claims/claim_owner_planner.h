#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_PLANNER_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_PLANNER_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Claims/claim_limits.h"
#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// Status of a host as the membership reports it. kGone: the host is dead.
enum class ClaimHostStatus { kAlive, kDraining, kGone };

// Delays that keep the owner map from changing too early or too often.
struct ClaimPlannerLimits {
  // A host is added to the map after it has been alive for this long, so that a host in a
  // crash loop moves no keys.
  Duration addition_delay = std::chrono::seconds(60);
  // The first map is proposed once no host has joined the fleet for this long.
  Duration first_map_delay = std::chrono::seconds(5);
  // Shortest time between two changes of the map.
  Duration change_interval = std::chrono::seconds(30);
  // Time for which owners keep a claim; see ClaimLimits::GetClaimLifetime.
  Duration claim_lifetime = ClaimLimits().GetClaimLifetime();
};

// Once 1 / kIsolationDivisor of the map's hosts or more are gone, no host that is gone is
// removed from the map. ClaimIsolation uses the same share. Therefore a partitioned host
// stops granting keys before it can be removed, and when a fleet is split into two halves,
// both keep their owners.
inline constexpr std::size_t kIsolationDivisor = 4;

// Decides when the owner map changes. The caller writes the proposal to the store with a
// compare-and-swap against the map that it held. If another daemon's swap wins, the planner
// makes its next proposal from the winner's map.
//
// A host is removed when it drains, or when it has been gone for longer than the claim lifetime
// while fewer than a quarter of the map's hosts are gone. Hosts are added only while every
// host of the map is reachable, so that each previous owner can hand over its claims. A host
// that restarts under the same name stays in the map.
class ClaimOwnerPlanner {
 public:
  explicit ClaimOwnerPlanner(const ClaimPlannerLimits& planner_limits) : limits(planner_limits) {}

  // Call with a host's status in the membership. Repeated calls with the same status and
  // incarnation have no effect.
  void NoteHost(TimePoint now, std::string_view host, std::uint64_t incarnation,
                ClaimHostStatus status);

  // Returns the next map, or nothing when the map should not change now. store_has_no_map:
  // the store has replied that no map exists; only then is the first map proposed, and never
  // by a daemon that holds a map. unix_ms is the wall clock and becomes the map's creation
  // time.
  std::optional<ClaimOwnerMap> Propose(TimePoint now, std::uint64_t unix_ms,
                                       const ClaimOwnerView& view, bool store_has_no_map);

 private:
  struct HostState {
    std::uint64_t incarnation = 0;
    ClaimHostStatus status = ClaimHostStatus::kAlive;
    // Time of the first report of this status and incarnation.
    TimePoint since;
  };

  std::optional<ClaimOwnerMap> ProposeFirst(TimePoint now, std::uint64_t unix_ms) const;
  // few_gone: fewer than 1 / kIsolationDivisor of the map's hosts are gone.
  bool IsRemovable(TimePoint now, std::string_view host, bool few_gone) const;
  // Number of the map's hosts that are gone or were never reported.
  std::size_t CountGone(const ClaimOwnerView& view) const;
  // Adds the hosts that have been alive for long enough.
  void AddSettledHosts(TimePoint now, const ClaimOwnerView& view, ClaimOwnerMap& next) const;

  ClaimPlannerLimits limits;
  std::map<std::string, HostState, std::less<>> hosts;
  // Epoch of the map at the last proposal, and when it was first seen.
  std::uint64_t known_epoch = 0;
  TimePoint known_since;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_PLANNER_H_
