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

enum class ClaimHostStatus { kAlive, kDraining, kGone };

struct ClaimPlannerLimits {
  // A host joins the map after it has been alive for this long; a crash loop moves no keys.
  Duration addition_settle = std::chrono::seconds(60);
  // The first map waits until no host has joined for this long.
  Duration founding_settle = std::chrono::seconds(5);
  Duration change_interval = std::chrono::seconds(30);
  // ClaimLimits::GetMemory of the owners.
  Duration claim_memory = ClaimLimits().GetMemory();
};

// Hosts that may be lost or cut off before the map is left alone, as 1 / kIsolationDivisor
// of the map. ClaimIsolation uses the same share: a host that can be removed while it is
// cut off has stopped granting before, and two halves of a fleet both keep their owners.
inline constexpr std::size_t kIsolationDivisor = 4;

// Decides when the owner map changes. The caller writes the proposal to the store by
// compare-and-swap over the map that it held; a lost swap is proposed again from the
// winner's map.
//
// A host is removed once it drains, or once it has been gone for longer than owners
// remember claims while fewer than a quarter of the map's hosts are gone. Hosts are
// added only while every host of the map is reachable, so that each previous owner can
// hand over. A host that restarts under the same name stays in the map.
class ClaimOwnerPlanner {
 public:
  explicit ClaimOwnerPlanner(const ClaimPlannerLimits& planner_limits) : limits(planner_limits) {}

  // Reports a host's status as the membership sees it; repeated reports are harmless.
  void NoteHost(TimePoint now, std::string_view host, std::uint64_t incarnation,
                ClaimHostStatus status);

  // Proposes the next map, or nothing. store_has_no_map: the store has answered that the
  // map does not exist. A daemon that holds a map never proposes the first one.
  // unix_ms is the wall clock and becomes the map's creation time.
  std::optional<ClaimOwnerMap> Propose(TimePoint now, std::uint64_t unix_ms,
                                       const ClaimOwnerView& view, bool store_has_no_map);

 private:
  struct HostState {
    std::uint64_t incarnation = 0;
    ClaimHostStatus status = ClaimHostStatus::kAlive;
    // When the status and incarnation were first reported.
    TimePoint since;
  };

  std::optional<ClaimOwnerMap> ProposeFirst(TimePoint now, std::uint64_t unix_ms) const;
  bool IsRemovable(TimePoint now, std::string_view host, bool few_gone) const;
  std::size_t CountGone(const ClaimOwnerView& view) const;
  void AddSettledHosts(TimePoint now, const ClaimOwnerView& view, ClaimOwnerMap& next) const;

  ClaimPlannerLimits limits;
  std::map<std::string, HostState, std::less<>> hosts;
  std::uint64_t known_epoch = 0;
  TimePoint known_since;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_OWNER_PLANNER_H_
