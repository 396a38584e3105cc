// Guards against targets that stay registered after they stopped, against gossip for
// announcements that change nothing, and against a drain or restart of a target that is not
// reported to peers.
#include <criterion/criterion.h>

#include <chrono>
#include <string>

#include "Membership/target_registry.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)

namespace {

constexpr TimePoint kStart{};

TargetAnnouncement MakeAnnouncement(const std::string& address, std::uint64_t incarnation = 1) {
  return {"orders", address, 9, false, 0, incarnation};
}

}  // namespace

Test(target_registry, renewed_announcement_is_not_a_change) {
  TargetRegistry registry;
  cr_assert_eq(registry.Announce(MakeAnnouncement("a"), kStart).size(), 1U);
  TargetAnnouncement renewed = MakeAnnouncement("a");
  renewed.reported_load_permille = 700;
  cr_assert(registry.Announce(renewed, kStart).empty());
  cr_assert_eq(registry.ListTargets().front().reported_load_permille, 700U);
}

Test(target_registry, drain_and_restart_are_changes) {
  TargetRegistry registry;
  registry.Announce(MakeAnnouncement("a"), kStart);
  TargetAnnouncement draining = MakeAnnouncement("a");
  draining.draining = true;
  const auto drained = registry.Announce(draining, kStart);
  cr_assert_eq(drained.size(), 1U);
  cr_assert_eq(drained.front().event, Event::kTargetDraining);
  const auto restarted = registry.Announce(MakeAnnouncement("a", 2), kStart);
  cr_assert_eq(restarted.size(), 1U);
  cr_assert_eq(restarted.front().target.incarnation, 2U);
}

Test(target_registry, a_target_that_stops_announcing_is_dropped) {
  TargetRegistry registry;
  registry.Announce(MakeAnnouncement("a"), kStart);
  registry.Announce(MakeAnnouncement("b"), kStart + std::chrono::seconds(2));
  cr_assert(registry.Expire(kStart + std::chrono::milliseconds(2999)).empty());
  const auto expired = registry.Expire(kStart + TargetRegistry::kAnnouncementLifetime);
  cr_assert_eq(expired.size(), 1U);
  cr_assert_eq(expired.front().event, Event::kTargetGone);
  cr_assert_eq(expired.front().target.address, "a");
  cr_assert_eq(registry.ListTargets().size(), 1U);
  // The target may be announced again.
  cr_assert_eq(registry.Announce(MakeAnnouncement("a"), kStart).size(), 1U);
}

Test(target_registry, number_of_targets_is_bounded) {
  TargetRegistry registry;
  for (std::size_t i = 0; i < TargetRegistry::kMaxTargets + 10; ++i) {
    registry.Announce(MakeAnnouncement(std::to_string(i)), kStart);
  }
  cr_assert_eq(registry.ListTargets().size(), TargetRegistry::kMaxTargets);
}
