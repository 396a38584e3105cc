#ifndef LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Admission/failure_throttle.h"
#include "Admission/link_schedule.h"
#include "Admission/target_admission.h"
#include "Core/time_point.h"
#include "Membership/local_target.h"
#include "Retry/run_attribution.h"
#include "mesh.h"

namespace lacewingbridge {

// Whether a request may be sent to the local target, and if not, why.
enum class GateVerdict {
  kAdmitted,
  kQueued,
  kWrongTarget,
  kNotAccepting,
  kNoCapacity,
  kTimedOut,
  kFailing,      // the target fails all requests; see FailureThrottle
  kSlowMoment,   // the target's machine is slow at this moment
  kBeyondShare,  // the workspace is beyond its fair share of the target
};

// How a request at the local target ended.
enum class RunResult {
  kServed,
  kFailed,   // the target failed it, or was lost while it ran
  kNoResult  // the end says nothing about the target, for example after a failed call
};

std::string_view DescribeGateVerdict(GateVerdict verdict);

// The target beside this daemon and the requests that wait for it, under one lock. The target
// receives requests only through this daemon, so this class alone decides what the target receives.
class TargetGate {
 public:
  // Called from any thread when a queued request may start (true) or is refused (false).
  using Listener = std::function<void(bool)>;

  // A link rate of 0 bytes per second means that the link of the host is not limited.
  TargetGate(std::string_view service, std::uint64_t link_bytes_per_second)
      : target(service), link(link_bytes_per_second) {}

  // Sets the id of the offer and decides on it. The listener is called at most once, and only if
  // the verdict is kQueued.
  GateVerdict Offer(TimePoint now, const HopRequest& hop, WorkOffer& offer, Listener listener);
  void Finish(TimePoint now, RequestId id, RunResult result);
  void RecordWorkPercent(TimePoint now, std::uint32_t percent);
  // Reserves time on the link for a response of the target. Returns the time until its first byte
  // may be sent.
  Duration ReserveLink(TimePoint now, std::uint64_t bytes);
  // Returns how long a long response takes to transfer over the link.
  Duration GetTransferTime(std::uint64_t bytes) const { return this->link.GetTransferTime(bytes); }
  // Cancels a request. Returns whether it had already been admitted; in this case Finish has to be
  // called.
  bool Cancel(TimePoint now, RequestId id);
  // Has to be called regularly while requests wait.
  void Expire(TimePoint now);

  // Relate the requests of this host to the runs of the target; see RunAttribution.
  void SetRunWindow(Duration window);
  void RecordRunStart(TimePoint now, double repeat_share);
  void RecordRunEnd(double repeat_share);
  double GetRepeatShare();
  double GetRunningRepeats();
  double CountRuns(TimePoint now);
  void RecordFailedCall(TimePoint now);
  bool HasFailedCallSince(TimePoint start);

  AnnouncementVerdict HandleAnnouncement(TimePoint now, const TargetAnnouncement& announcement);
  void HandleLeave(TimePoint now, std::string_view id, std::uint64_t born_unix_ms);
  void HandleStoredRecord(TimePoint now, const LocalTargetRecord& record);
  void HandleHealthResponse(TimePoint now, bool healthy, std::string_view id, std::uint32_t slots);
  void HandleConnectionRefused(TimePoint now);
  bool TakeHealthCheckTurn(TimePoint now);
  // Returns whether to check now if the target still listens, after a lost connection. Connections
  // are often lost several at once, and one check is enough for all of them.
  bool TakeListenCheck(TimePoint now);
  // Returns the start time of the current target process; 0 while it is unknown.
  std::uint64_t GetTargetStartUnixMs();

  // Returns the time until the workspace has room in its fair share of the target.
  Duration GetShareWait(TimePoint now, std::string_view workspace);
  TargetAdmission::ShareCounts CountShares(TimePoint now);
  // Returns the state of the target that is reported with the response to the offer.
  HopReport MakeReport(TimePoint now, const WorkOffer& offer);
  LocalTargetRecord MakeRecord();
  // Marks this daemon as about to stop. Requests are still served, but the reports ask other
  // daemons to send further requests elsewhere.
  void SetLeaving();

 private:
  // Shorter than the time that a target takes to restart.
  static constexpr Duration kListenCheckInterval = std::chrono::milliseconds(300);

  struct Notification {
    Listener listener;
    bool admitted = false;
  };

  void RefreshSlots(TimePoint now, std::vector<Notification>& notifications);
  void Collect(const AdmissionRelease& release, std::vector<Notification>& notifications);
  static void Notify(const std::vector<Notification>& notifications);
  template <typename Action>
  auto Change(TimePoint now, Action&& action);

  std::mutex mutex;
  LocalTarget target;
  TargetAdmission admission;
  LinkSchedule link;
  RunAttribution runs;
  FailureThrottle throttle;
  std::unordered_map<RequestId, Listener> listeners;
  RequestId last_id = 0;
  TimePoint listen_checked_at;
  bool leaving = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_
