#ifndef LACEWINGBRIDGE_SOURCE_ROUTING_HOP_PLACEMENT_H_
#define LACEWINGBRIDGE_SOURCE_ROUTING_HOP_PLACEMENT_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Routing/class_times.h"
#include "Routing/share_refusals.h"
#include "mesh.h"

namespace lacewingbridge {

// What a request requires of the daemon that is to run it.
struct HopRequirements {
  // Time left until the objective, by which the caller wants the response, and until the deadline.
  Duration objective_left{0};
  Duration time_left{0};
  // Expected size of the response in bytes.
  double response_bytes = 0;
  // Requests of one class are taken to need similar work; see HopRequest.work_class.
  std::uint32_t work_class = 0;
  WorkspaceWork work;
};

// The daemon and the target that a request is sent to.
struct HopChoice {
  std::string peer_address;
  std::string target_id;
  // Age of the report that the choice is based on; empty if the peer has not reported.
  std::optional<Duration> report_age;
  // Expected time until the target starts the request.
  Duration expected_wait{0};
  // Whether no target has been tried and there are enough others for a further choice.
  bool has_alternatives = false;
};

// Chooses the peer, that is the daemon beside a target, that is to run a request of one service.
// Targets differ in speed, some data centres have more load than others, and reports age. In a
// fleet of many daemons, each daemon receives a report of a given target so rarely that most
// reports are too old. If all daemons then assumed the fastest target to be idle, that target
// would be full while others are idle.
//
// A request is therefore placed on one of a few candidates: those with a fresh report, and some
// that are drawn at random in proportion to their capacity. The candidate with the lowest cost is
// chosen. The cost is the time until the response is expected, which is estimated from the last
// report and this daemon's own requests since then, plus penalties for load, a late response and
// distance. Bytes between data centres are billed, and bytes between regions cost more, so long
// responses are kept near the caller.
//
// Not thread-safe; the caller passes the current time.
class HopPlacement {
 public:
  // A report is ignored after this time, since the queue that it describes has been worked off
  // by then.
  static constexpr Duration kReportLifetime = std::chrono::milliseconds(1000);

  HopPlacement(std::string_view own_host, std::string_view own_data_centre,
               std::string_view own_region)
      : host(own_host), data_centre(own_data_centre), region(own_region) {}

  // Replaces the list of hosts whose targets belong to the service. Each record must have a target.
  // The counts of a host that stays in the list are kept.
  void UpdateHosts(std::span<const HostRecord> hosts);

  // Chooses a peer whose address is not excluded; empty if there is no such candidate.
  template <std::uniform_random_bit_generator Random>
  std::optional<HopChoice> Choose(TimePoint now, const HopRequirements& requirements,
                                  std::span<const std::string> excluded, Random& random) {
    std::uniform_real_distribution<double> jitter(1 - kJitter, 1 + kJitter);
    std::exponential_distribution<double> rank(1);
    std::vector<CandidateRandomValues> candidate_values(this->candidates.size());
    for (CandidateRandomValues& entry : candidate_values) {
      entry = {jitter(random), rank(random)};
    }
    const double trial_rate =
        1.0 / static_cast<double>(std::max<std::size_t>(candidate_values.size(), 1));
    const bool trial = std::bernoulli_distribution(trial_rate)(random);
    return this->ChooseFor(
        now, requirements, excluded,
        {candidate_values, trial, this->ComputeTypical(now, requirements.work_class)});
  }

  // RecordStart must be called once for every hop that is sent, and RecordEnd once when it has
  // ended.
  void RecordStart(std::string_view peer_address);
  void RecordEnd(std::string_view peer_address);
  // Records a report that arrived with a response and clears the failures of the peer.
  void RecordReport(TimePoint now, std::string_view peer_address, const HopReport& report);
  // Records what the report on such work says about the share of its workspace at the peer.
  void RecordShare(TimePoint now, std::string_view peer_address, const WorkspaceWork& work,
                   const HopReport& report) {
    this->share_refusals.Record(now, work, peer_address,
                                std::chrono::milliseconds(report.share_wait_ms));
  }
  // Records that no connection could be made, or that one was lost before a report arrived.
  void RecordFailure(TimePoint now, std::string_view peer_address);

  // Estimates the shortest time after which work that is refused now could start at any peer; empty
  // if there is no candidate.
  std::optional<Duration> EstimateMinWait(TimePoint now, const WorkspaceWork& work = {}) const;
  const ShareRefusals& GetShareRefusals() const { return this->share_refusals; }
  // Whether there is a peer that could be chosen if the workspace were within its share there.
  bool IsBeyondShare(TimePoint now, const WorkspaceWork& work,
                     std::span<const std::string> excluded) const;

 private:
  enum class Distance { kSameHost, kSameDataCentre, kSameRegion, kOtherRegion };

  // Relative random variation of the estimates. Without it, all daemons would choose the same
  // peer.
  static constexpr double kJitter = 0.1;
  // Numbers of candidates that are drawn at random for each request within a distance. A candidate
  // in the own data centre counts towards the wider distances as well. Two random candidates are
  // enough to balance the load of many targets. Candidates from anywhere provide capacity when the
  // own region has none left.
  static constexpr std::size_t kSampledInDataCentre = 1;
  static constexpr std::size_t kSampledInRegion = 2;
  static constexpr std::size_t kSampledAnywhere = 2;
  // Typical round trip times between hosts, indexed by Distance.
  static constexpr std::array<Duration, 4> kRoundTrips = {
      std::chrono::microseconds(200), std::chrono::microseconds(600),
      std::chrono::microseconds(2500), std::chrono::microseconds(17000)};
  // Cost of a kilobyte, indexed by Distance, as a fraction of the cost of a late response. Bytes
  // between regions are billed at about four to five times the price of bytes between data centres.
  static constexpr std::array<double, 4> kCostPerKilobyte = {0, 0, 0.05, 0.25};
  // Size of the headers of a request and its response, which are billed with every hop.
  static constexpr double kHeaderKilobytes = 0.8;
  // Cost of a late response, as a fraction of the time until the deadline. A late response has lost
  // about seven tenths of its value; the unit is the same as that of the cost of bytes.
  static constexpr double kLatePenalty = 0.25;
  // Cost of a target that fails all requests, as a fraction of the time until the deadline, and the
  // time for which a report of it counts. A failure costs more than a late response.
  static constexpr double kFailingPenalty = 0.5;
  static constexpr Duration kFailingLifetime = std::chrono::seconds(3);
  // Additional cost of a full target, as a multiple of its service time. Its reports are already
  // slightly out of date, the next request would wait for a slot or be refused, and many targets
  // slow down when they are nearly full. A target that is half full costs a sixteenth of this.
  static constexpr double kLoadPenalty = 1.5;
  // A new target is not tried with a request whose response is longer than this, since the response
  // could cross a billed link.
  static constexpr double kMaxTrialKilobytes = 32;
  // With fewer candidates, a target that refuses may be the only one with free slots.
  static constexpr std::size_t kMinAlternatives = 3;
  // Assumed service time while no target of the service has reported.
  static constexpr Duration kInitialServiceTime = std::chrono::milliseconds(50);
  // Time for which a peer that failed is not chosen. It doubles with each further failure, up to
  // the maximum.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(200);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(2);

  // Means of what the targets have reported.
  struct Typical {
    // Service time of all requests, and of those of the class of the request.
    Duration all{0};
    Duration of_class{0};
    // Fraction of the slots that is in use, by Distance, from fresh reports. A distance without any
    // has the mean of the others.
    std::array<double, 4> utilization{};
  };

  // A peer with a target of the service, and what this daemon knows of it.
  struct Candidate {
    std::string peer_address;
    std::string target_id;
    std::uint32_t slots = 0;
    bool accepting = false;
    Distance distance = Distance::kOtherRegion;
    HopReport report;
    ClassTimes class_times;
    // Time that work of these classes takes here, as a multiple of its mean over the targets.
    double slowness = 1;
    TimePoint report_at;
    bool has_report = false;
    std::uint32_t in_flight = 0;
    // Requests of this daemon that were in flight when the report arrived.
    std::uint32_t in_flight_at_report = 0;
    std::uint32_t failures = 0;
    TimePoint backoff_until;
  };

  // The random numbers for one candidate in one choice.
  struct CandidateRandomValues {
    double jitter = 1;
    // Exponentially distributed. After division by the capacities, the candidates with the lowest
    // ranks are a random sample that is weighted by capacity.
    double rank = 0;
  };

  // The random numbers for one choice, and the estimate that its candidates share.
  struct RandomValues {
    std::span<const CandidateRandomValues> candidates;
    // Whether this request may try a target that has not reported yet, whatever its estimated
    // cost. Every daemon has to try every target once, so the probability is one divided by the
    // number of targets. With a higher one, most requests of a large fleet would be trials.
    bool trial = false;
    // Assumed for targets that have not reported, or not recently.
    Typical typical;
  };

  std::optional<HopChoice> ChooseFor(TimePoint now, const HopRequirements& requirements,
                                     std::span<const std::string> excluded,
                                     const RandomValues& random_values) const;
  // Whether the candidate accepts requests, is not paused after a failure and is not excluded.
  static bool IsEligible(TimePoint now, const Candidate& candidate,
                         std::span<const std::string> excluded);
  // Returns the positions of the candidates that are compared for a request.
  std::vector<std::size_t> SampleCandidates(TimePoint now, std::span<const std::string> excluded,
                                            const RandomValues& random_values) const;
  // Returns the means of the reports, with the initial service time if there is none.
  Typical ComputeTypical(TimePoint now, std::uint32_t work_class) const;
  std::array<double, 4> ComputeTypicalUtilization(TimePoint now) const;
  // Returns the reported service time, or the typical one for a candidate that has not reported.
  static Duration GetServiceTime(const Candidate& candidate, Duration typical);
  // Returns the time that work takes at the candidate as a multiple of its usual time. Without
  // times by class, it is taken from the service time and the typical one of all requests.
  static double GetSlowness(const Candidate& candidate, Duration typical);
  // Estimates how long the candidate takes for a request of the class. If it has not reported a
  // time of that class, its slowness at the others counts.
  static Duration EstimateRunTime(TimePoint now, const Candidate& candidate,
                                  std::uint32_t work_class, const Typical& typical);
  // Estimates the fraction of the candidate's slots that is in use. A candidate outside the own
  // data centre that has not reported recently is taken to be as busy as others at its distance:
  // a request should not cross a billed link only because nothing is known there.
  static double EstimateUtilization(TimePoint now, const Candidate& candidate,
                                    const Typical& typical);
  // Estimates the time that work takes at the candidate now, as a multiple of its mean time.
  static double EstimatePace(TimePoint now, const Candidate& candidate);
  Candidate* Find(std::string_view peer_address);
  Distance GetDistance(const HostRecord& record) const;
  static bool IsFresh(TimePoint now, const Candidate& candidate) {
    return candidate.has_report && now - candidate.report_at < kReportLifetime;
  }
  // Estimates how many requests run or wait at the candidate.
  static std::int64_t CountOccupied(TimePoint now, const Candidate& candidate);
  static std::uint32_t CountSlots(TimePoint now, const Candidate& candidate);
  static double CountUtilization(TimePoint now, const Candidate& candidate);
  Duration EstimateWait(TimePoint now, const Candidate& candidate, Duration service_time) const;
  // Returns the time that the link of the candidate's host adds for a response that is ready after
  // the given time.
  static Duration EstimateLinkTime(TimePoint now, const HopRequirements& requirements,
                                   const Candidate& candidate, Duration ready);
  // Returns the cost of placing the request on the candidate at that position.
  Duration ComputeCost(TimePoint now, const HopRequirements& requirements, std::size_t position,
                       const RandomValues& random_values) const;

  std::string host;
  std::string data_centre;
  std::string region;
  std::vector<Candidate> candidates;
  ClassTimeMeans class_means;
  ShareRefusals share_refusals;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_ROUTING_HOP_PLACEMENT_H_
