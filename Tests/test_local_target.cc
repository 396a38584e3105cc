// Guards against new requests for a target that drains or has left, also when announcements
// arrive late or the daemon has restarted.
#include <criterion/criterion.h>

#include "Membership/local_target.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kNow{seconds(10)};

TargetAnnouncement MakeAnnouncement(const char* id, std::uint64_t start_unix_ms,
                                    std::uint64_t sequence, bool draining = false) {
  return {id, "desk", 9, draining, sequence, start_unix_ms};
}

LocalTarget MakeHealthyTarget(const char* id, std::uint64_t start_unix_ms) {
  LocalTarget target("desk");
  target.HandleAnnouncement(MakeAnnouncement(id, start_unix_ms, 3));
  target.HandleHealthResponse(true, id, 9);
  return target;
}

}  // namespace

Test(local_target, accepts_no_request_before_its_health_check) {
  LocalTarget target("desk");
  cr_assert(target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 1)) ==
            AnnouncementVerdict::kCurrent);
  cr_assert(!target.IsAccepting(kNow));
  cr_assert(target.TakeHealthCheckTurn(kNow));
  cr_assert(!target.TakeHealthCheckTurn(kNow + milliseconds(1)));
  target.HandleHealthResponse(false, "i-1", 9);
  cr_assert(!target.IsAccepting(kNow));
  target.HandleHealthResponse(true, "i-2", 9);
  cr_assert(!target.IsAccepting(kNow));
  target.HandleHealthResponse(true, "i-1", 9);
  cr_assert(target.IsAccepting(kNow));
}

Test(local_target, accepts_no_request_again_after_it_drained) {
  LocalTarget target = MakeHealthyTarget("i-1", 5);
  target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 4, true));
  cr_assert(!target.IsAccepting(kNow));
  cr_assert(target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 3)) ==
            AnnouncementVerdict::kStale);
  target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 6));
  cr_assert(!target.IsAccepting(kNow));
}

Test(local_target, ignores_announcements_of_an_instance_that_has_left) {
  LocalTarget target = MakeHealthyTarget("i-1", 5);
  target.HandleLeave("i-1", 0);
  cr_assert(!target.IsAccepting(kNow));
  cr_assert(target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 9)) ==
            AnnouncementVerdict::kStale);
  // A later instance with the same id is accepted.
  cr_assert(target.HandleAnnouncement(MakeAnnouncement("i-1", 8, 1)) ==
            AnnouncementVerdict::kCurrent);
  target.HandleHealthResponse(true, "i-1", 9);
  cr_assert(target.IsAccepting(kNow));
}

Test(local_target, ignores_late_announcements_of_an_earlier_instance) {
  LocalTarget target = MakeHealthyTarget("i-2", 9);
  cr_assert(target.HandleAnnouncement(MakeAnnouncement("i-1", 5, 70, true)) ==
            AnnouncementVerdict::kStale);
  target.HandleLeave("i-1", 5);
  cr_assert(target.IsAccepting(kNow));
  cr_assert(target.GetId() == "i-2");
}

Test(local_target, restores_from_the_store_that_an_instance_has_left) {
  LocalTarget target = MakeHealthyTarget("i-1", 5);
  target.HandleLeave("i-1", 5);
  LocalTargetRecord of_earlier_release = target.MakeRecord();
  of_earlier_release.stay = TargetStay::kUnknown;
  for (const LocalTargetRecord& record : {target.MakeRecord(), of_earlier_release}) {
    LocalTarget restarted("desk");
    restarted.HandleStoredRecord(record);
    cr_assert(restarted.HandleAnnouncement(MakeAnnouncement("i-1", 5, 9)) ==
              AnnouncementVerdict::kStale);
    restarted.HandleHealthResponse(true, "i-1", 9);
    cr_assert(!restarted.IsAccepting(kNow));
  }
}

// Guards against a sound target that gets no requests for good because the record of an earlier
// process of the daemon is taken for the word that the target leaves (review/3): that process was
// killed while it stopped, or before it had confirmed the target's health.
Test(local_target, is_accepted_after_a_daemon_that_only_stopped_or_had_not_checked_it) {
  LocalTargetRecord stopping = MakeHealthyTarget("i-1", 5).MakeRecord();
  stopping.accepting = false;
  LocalTarget unchecked("desk");
  unchecked.HandleAnnouncement(MakeAnnouncement("i-1", 5, 1));
  cr_assert_not(unchecked.MakeRecord().accepting);
  for (const LocalTargetRecord& record : {stopping, unchecked.MakeRecord()}) {
    LocalTarget restarted("desk");
    restarted.HandleStoredRecord(record);
    cr_assert(restarted.HandleAnnouncement(MakeAnnouncement("i-1", 5, 9)) ==
              AnnouncementVerdict::kCurrent);
    restarted.HandleHealthResponse(true, "i-1", 9);
    cr_assert(restarted.IsAccepting(kNow));
  }
}

Test(local_target, is_identified_by_its_health_response_after_a_restart_of_the_daemon) {
  LocalTarget restarted("desk");
  cr_assert(restarted.TakeHealthCheckTurn(kNow));
  restarted.HandleHealthResponse(true, "i-1", 9);
  cr_assert(restarted.IsAccepting(kNow));
  cr_assert(restarted.HandleAnnouncement(MakeAnnouncement("i-1", 5, 30)) ==
            AnnouncementVerdict::kCurrent);
  cr_assert(restarted.IsAccepting(kNow));
}

Test(local_target, accepts_no_request_for_a_while_after_a_refused_connection) {
  LocalTarget target = MakeHealthyTarget("i-1", 5);
  target.HandleConnectionRefused(kNow);
  cr_assert(!target.IsAccepting(kNow));
  cr_assert(target.IsAccepting(kNow + LocalTarget::kRefusedPause));
}

Test(local_target, rejects_an_announcement_for_another_service) {
  LocalTarget target("desk");
  TargetAnnouncement foreign = MakeAnnouncement("i-1", 5, 1);
  foreign.service = "book";
  cr_assert(target.HandleAnnouncement(foreign) == AnnouncementVerdict::kWrongService);
  cr_assert(target.GetId().empty());
}
