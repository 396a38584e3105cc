// Guards against daemons that all choose the same peer, keep sending requests to a full target, or
// send long responses over billed links without need.
#include <criterion/criterion.h>

#include <map>
#include <random>
#include <string>
#include <vector>

#include "Routing/hop_placement.h"

using namespace lacewingbridge;  // NOLINT(google-build-using-namespace)
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr TimePoint kNow{seconds(10)};
const HopRequirements kLookup{milliseconds(300), milliseconds(1000), 5000};

HostRecord MakeHost(const std::string& name, const std::string& data_centre,
                    const std::string& region) {
  HostRecord record;
  record.host = name;
  record.data_centre = data_centre;
  record.region = region;
  record.peer_address = name;
  record.target = LocalTargetRecord{"book", "t-" + name, 1, 9, true};
  return record;
}

// A placement in data centre a1 with one peer in the same data centre, one in the same region and
// one in another region.
class Fleet {
 public:
  Fleet() : placement("self", "a1", "a") {
    this->hosts = {MakeHost("near", "a1", "a"), MakeHost("beside", "a2", "a"),
                   MakeHost("far", "b1", "b")};
    this->placement.UpdateHosts(this->hosts);
  }

  std::string Choose(const HopRequirements& requirements, TimePoint now = kNow,
                     const std::vector<std::string>& excluded = {}) {
    const std::optional<HopChoice> choice =
        this->placement.Choose(now, requirements, excluded, this->random);
    return choice.has_value() ? choice->peer_address : "none";
  }

  void Report(const std::string& peer, std::uint32_t running, std::uint32_t waiting,
              std::uint32_t wait_ms, TimePoint now = kNow) {
    HopReport report;
    report.running = running;
    report.waiting = waiting;
    report.slots = 9;
    report.expected_wait_ms = wait_ms;
    report.service_time_ms = 100;
    report.accepting = true;
    this->placement.RecordReport(now, peer, report);
  }

  HopPlacement placement;
  std::vector<HostRecord> hosts;

 private:
  std::mt19937_64 random{1};
};

}  // namespace

Test(hop_placement, prefers_the_own_data_centre_and_then_the_nearest_peer_with_capacity) {
  Fleet fleet;
  cr_assert_eq(fleet.Choose(kLookup), "near");
  fleet.Report("near", 9, 20, 230);
  fleet.Report("beside", 2, 0, 0);
  fleet.Report("far", 2, 0, 0);
  cr_assert_eq(fleet.Choose(kLookup), "beside");
  fleet.Report("beside", 9, 30, 340);
  cr_assert_eq(fleet.Choose(kLookup), "far");
}

Test(hop_placement, keeps_a_long_response_near_while_it_can_be_on_time) {
  Fleet fleet;
  fleet.Report("near", 9, 6, 70);
  fleet.Report("beside", 1, 0, 0);
  fleet.Report("far", 1, 0, 0);
  HopRequirements download = kLookup;
  download.response_bytes = 90000;
  cr_assert_eq(fleet.Choose(download), "near");
}

Test(hop_placement, counts_its_own_requests_since_the_last_report) {
  Fleet fleet;
  fleet.Report("near", 0, 0, 0);
  fleet.Report("beside", 0, 0, 0);
  std::map<std::string, int> counts;
  for (int i = 0; i < 40; ++i) {
    const std::string peer = fleet.Choose(kLookup);
    fleet.placement.RecordStart(peer);
    ++counts[peer];
  }
  cr_assert_lt(counts["near"], 25);
  cr_assert_gt(counts["beside"], 5);
}

Test(hop_placement, skips_peers_that_fail_drain_or_were_tried) {
  Fleet fleet;
  fleet.placement.RecordFailure(kNow, "near");
  cr_assert_eq(fleet.Choose(kLookup), "beside");
  cr_assert_eq(fleet.Choose(kLookup, kNow + seconds(1)), "near");
  fleet.hosts[0].target->accepting = false;
  fleet.placement.UpdateHosts(fleet.hosts);
  cr_assert_eq(fleet.Choose(kLookup, kNow, {"beside"}), "far");
  cr_assert_eq(fleet.Choose(kLookup, kNow, {"beside", "far"}), "none");
}

Test(hop_placement, ignores_an_old_report) {
  Fleet fleet;
  fleet.Report("near", 9, 40, 450);
  // All targets have the same speed, so that only the queue decides.
  fleet.Report("beside", 0, 0, 0);
  fleet.Report("far", 0, 0, 0);
  cr_assert_neq(fleet.Choose(kLookup), "near");
  cr_assert_eq(fleet.Choose(kLookup, kNow + HopPlacement::kReportLifetime), "near");
}

// Guards against too many requests that try a target without a report. In a fleet of 90 daemons and
// 51 targets, when every daemon tried every target once, half of all requests were such trials, and
// slow targets received as many requests as fast ones.
Test(hop_placement, few_requests_of_a_large_fleet_are_trials) {
  HopPlacement placement("self", "a1", "a");
  std::vector<HostRecord> hosts;
  for (int i = 0; i < 51; ++i) {
    hosts.push_back(MakeHost("h" + std::to_string(i), "a1", "a"));
  }
  placement.UpdateHosts(hosts);
  HopReport report;
  report.slots = 9;
  report.service_time_ms = 100;
  report.accepting = true;
  placement.RecordReport(kNow, "h0", report);
  std::mt19937_64 random(1);
  int trials = 0;
  constexpr int kRequests = 1000;
  for (int i = 0; i < kRequests; ++i) {
    // The known target is fast, so only a trial is sent to another one.
    HopReport quick = report;
    quick.service_time_ms = 20;
    placement.RecordReport(kNow, "h0", quick);
    HopReport slow = report;
    slow.service_time_ms = 400;
    placement.RecordReport(kNow, "h1", slow);
    const std::optional<HopChoice> choice = placement.Choose(kNow, kLookup, {}, random);
    trials += choice->peer_address != "h0" ? 1 : 0;
  }
  cr_assert_leq(trials, kRequests / 20);
  cr_assert_geq(trials, 1, "a new target is never tried");
}

Test(hop_placement, long_responses_avoid_a_host_whose_link_is_busy) {
  Fleet fleet;
  fleet.hosts.push_back(MakeHost("also_near", "a1", "a"));
  fleet.placement.UpdateHosts(fleet.hosts);
  for (const char* peer : {"near", "also_near"}) {
    HopReport report;
    report.slots = 9;
    report.service_time_ms = 100;
    report.accepting = true;
    report.link_bytes_per_second = 1'000'000;
    report.link_wait_ms = std::string(peer) == "near" ? 600 : 0;
    fleet.placement.RecordReport(kNow, peer, report);
  }
  const HopRequirements download{milliseconds(800), milliseconds(6000), 90000};
  int busy = 0;
  for (int i = 0; i < 100; ++i) {
    busy += fleet.Choose(download) == "near" ? 1 : 0;
  }
  cr_assert_eq(busy, 0);
}

// Guards against requests that leave their region for a faster target although a near one would
// respond in time: the bytes between regions are billed, and a response before the objective is not
// worth more.
Test(hop_placement, stays_in_the_region_while_a_target_there_is_in_time) {
  Fleet fleet;
  for (const char* peer : {"near", "beside", "far"}) {
    HopReport report;
    report.slots = 9;
    report.running = std::string(peer) == "far" ? 0 : 6;
    report.service_time_ms = std::string(peer) == "far" ? 100 : 190;
    report.accepting = true;
    fleet.placement.RecordReport(kNow, peer, report);
  }
  const HopRequirements lookup{milliseconds(600), milliseconds(4000), 400};
  for (int i = 0; i < 100; ++i) {
    cr_assert_neq(fleet.Choose(lookup), "far");
  }
}

// Guards against a target that looks fast because most of its requests need little work, for those
// and for requests of a class that it has not run yet.
Test(hop_placement, compares_targets_by_the_work_of_the_request_itself) {
  Fleet fleet;
  HopReport mostly_light;
  mostly_light.slots = 9;
  mostly_light.accepting = true;
  mostly_light.service_time_ms = 100;
  mostly_light.work_class = 2;
  mostly_light.class_time_ms = 500;
  HopReport mostly_heavy = mostly_light;
  mostly_heavy.service_time_ms = 200;
  mostly_heavy.class_time_ms = 220;
  fleet.placement.RecordReport(kNow, "near", mostly_light);
  fleet.placement.RecordReport(kNow, "beside", mostly_heavy);
  fleet.placement.RecordReport(kNow, "far", mostly_heavy);
  const HopRequirements heavy{milliseconds(600), milliseconds(2000), 400, 2};
  const HopRequirements light{milliseconds(600), milliseconds(2000), 400, 1};
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(fleet.Choose(heavy), "beside");
    cr_assert_eq(fleet.Choose(light), "beside");
  }
}

Test(hop_placement, avoids_a_slow_moment_until_it_is_likely_over) {
  Fleet fleet;
  HopReport report;
  report.slots = 9;
  report.accepting = true;
  report.service_time_ms = 200;
  report.work_percent = 100;
  report.work_lifetime_ms = 200;
  fleet.placement.RecordReport(kNow, "beside", report);
  fleet.placement.RecordReport(kNow, "far", report);
  report.work_percent = 250;
  fleet.placement.RecordReport(kNow, "near", report);
  const HopRequirements lookup{milliseconds(600), milliseconds(2000), 400};
  for (int i = 0; i < 20; ++i) {
    cr_assert_eq(fleet.Choose(lookup), "beside");
    cr_assert_eq(fleet.Choose(lookup, kNow + milliseconds(950)), "near");
  }
}

// Guards against requests that cross a billed link to a target of which nothing is known, while all
// known ones there are full.
Test(hop_placement, takes_silent_targets_far_away_to_be_as_busy_as_the_others_there) {
  Fleet fleet;
  fleet.hosts.push_back(MakeHost("far_and_silent", "b1", "b"));
  fleet.placement.UpdateHosts(fleet.hosts);
  fleet.Report("near", 8, 0, 0);
  fleet.Report("far", 9, 0, 10);
  // It is tried already, so no further request is a trial.
  fleet.placement.RecordStart("far_and_silent");
  const HopRequirements lookup{milliseconds(600), milliseconds(600), 100};
  int to_near = 0;
  for (int i = 0; i < 100; ++i) {
    to_near += fleet.Choose(lookup, kNow, {"beside"}) == "near" ? 1 : 0;
  }
  cr_assert_geq(to_near, 90, "%d near", to_near);
}

// Guards against refusals in a slow moment that leave a request without a target.
Test(hop_placement, promises_alternatives_only_to_a_first_choice_among_several_targets) {
  Fleet fleet;
  std::mt19937_64 random(1);
  cr_assert_not(fleet.placement.Choose(kNow, kLookup, {}, random)->has_alternatives);
  for (const char* name : {"a", "b", "c", "d"}) {
    fleet.hosts.push_back(MakeHost(name, "a1", "a"));
  }
  fleet.placement.UpdateHosts(fleet.hosts);
  for (const HostRecord& host : fleet.hosts) {
    fleet.Report(host.peer_address, 0, 0, 0);
  }
  cr_assert(fleet.placement.Choose(kNow, kLookup, {}, random)->has_alternatives);
  const std::vector<std::string> tried = {"near"};
  cr_assert_not(fleet.placement.Choose(kNow, kLookup, tried, random)->has_alternatives);
}

// A workspace beyond its share at some peers is served by the others, and nobody else is affected.
Test(hop_placement, does_not_choose_peers_where_the_workspace_is_beyond_its_share) {
  Fleet fleet;
  HopRequirements hot = kLookup;
  hot.work = {"hot", 2};
  HopReport refusal;
  refusal.share_wait_ms = 400;
  fleet.placement.RecordShare(kNow, "near", hot.work, refusal);
  cr_assert_eq(fleet.Choose(hot), "beside");
  cr_assert_eq(fleet.Choose(kLookup), "near");
  cr_assert(!fleet.placement.IsBeyondShare(kNow, hot.work, std::vector<std::string>{"near"}));
  fleet.placement.RecordShare(kNow, "beside", hot.work, refusal);
  fleet.placement.RecordShare(kNow, "far", hot.work, refusal);
  cr_assert_eq(fleet.Choose(hot), "none");
  cr_assert(fleet.placement.IsBeyondShare(kNow, hot.work, {}));
  cr_assert_eq(fleet.placement.EstimateMinWait(kNow, hot.work), Duration(milliseconds(400)));
  cr_assert_eq(fleet.Choose(hot, kNow + milliseconds(400)), "near");
}

// Targets compare shares only among work of one priority.
Test(hop_placement, a_refusal_because_of_the_share_does_not_close_a_peer_for_more_urgent_work) {
  Fleet fleet;
  HopReport refusal;
  refusal.share_wait_ms = 400;
  HopRequirements work = kLookup;
  work.work = {"hot", 2};
  for (const char* peer : {"near", "beside", "far"}) {
    fleet.placement.RecordShare(kNow, peer, work.work, refusal);
  }
  for (const std::uint32_t priority : {2U, 3U}) {
    work.work.priority = priority;
    cr_assert_eq(fleet.Choose(work), "none");
    cr_assert(fleet.placement.IsBeyondShare(kNow, work.work, {}));
    cr_assert_eq(fleet.placement.GetShareRefusals().FindPeers(kNow, work.work).size(), 3);
  }
  work.work.priority = 1;
  cr_assert_eq(fleet.Choose(work), "near");
  cr_assert(!fleet.placement.IsBeyondShare(kNow, work.work, {}));
  cr_assert(fleet.placement.GetShareRefusals().FindPeers(kNow, work.work).empty());
  cr_assert_lt(*fleet.placement.EstimateMinWait(kNow, work.work), milliseconds(400));
  // The refusal of work that is less urgent does not end that of more urgent work.
  fleet.placement.RecordShare(kNow, "near", work.work, refusal);
  fleet.placement.RecordShare(kNow, "near", {"hot", 2}, refusal);
  cr_assert_eq(fleet.Choose(work), "beside");
}
