// Guards against daemons that all choose the same peer, keep work beside a full target, or
// send long answers over billed links.
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
const HopNeed kLookup{milliseconds(300), milliseconds(1000), 5000};

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

class Fleet {
 public:
  Fleet() : placement("self", "a1", "a") {
    this->hosts = {MakeHost("near", "a1", "a"), MakeHost("beside", "a2", "a"),
                   MakeHost("far", "b1", "b")};
    this->placement.UpdateHosts(this->hosts);
  }

  std::string Choose(const HopNeed& need, TimePoint now = kNow,
                     const std::vector<std::string>& excluded = {}) {
    const std::optional<HopChoice> choice =
        this->placement.Choose(now, need, excluded, this->random);
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

Test(hop_placement, stays_in_the_data_centre_and_spills_over_by_distance) {
  Fleet fleet;
  cr_assert_eq(fleet.Choose(kLookup), "near");
  fleet.Report("near", 9, 20, 230);
  fleet.Report("beside", 2, 0, 0);
  fleet.Report("far", 2, 0, 0);
  cr_assert_eq(fleet.Choose(kLookup), "beside");
  fleet.Report("beside", 9, 30, 340);
  cr_assert_eq(fleet.Choose(kLookup), "far");
}

Test(hop_placement, keeps_a_long_answer_near_as_long_as_it_can_be_on_time) {
  Fleet fleet;
  fleet.Report("near", 9, 6, 70);
  fleet.Report("beside", 1, 0, 0);
  fleet.Report("far", 1, 0, 0);
  HopNeed download = kLookup;
  download.answer_bytes = 90000;
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

Test(hop_placement, passes_over_peers_that_fail_drain_or_were_tried) {
  Fleet fleet;
  fleet.placement.RecordFailure(kNow, "near");
  cr_assert_eq(fleet.Choose(kLookup), "beside");
  cr_assert_eq(fleet.Choose(kLookup, kNow + seconds(1)), "near");
  fleet.hosts[0].target->accepting = false;
  fleet.placement.UpdateHosts(fleet.hosts);
  cr_assert_eq(fleet.Choose(kLookup, kNow, {"beside"}), "far");
  cr_assert_eq(fleet.Choose(kLookup, kNow, {"beside", "far"}), "none");
}

Test(hop_placement, forgets_an_old_report) {
  Fleet fleet;
  fleet.Report("near", 9, 40, 450);
  // The same speed everywhere, so that only the queue decides.
  fleet.Report("beside", 0, 0, 0);
  fleet.Report("far", 0, 0, 0);
  cr_assert_neq(fleet.Choose(kLookup), "near");
  cr_assert_eq(fleet.Choose(kLookup, kNow + HopPlacement::kReportLifetime), "near");
}
