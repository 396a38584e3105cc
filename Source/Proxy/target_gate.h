#ifndef LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_
#define LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>

#include "Admission/link_schedule.h"
#include "Admission/target_admission.h"
#include "Core/time_point.h"
#include "Membership/local_target.h"
#include "mesh.h"

namespace lacewingbridge {

// Why a request may not go to the local target.
enum class GateVerdict { kAdmitted, kQueued, kWrongTarget, kNotAccepting, kNoRoom, kTimeOver };

std::string_view DescribeGateVerdict(GateVerdict verdict);

// The target beside this daemon and the requests that wait for it, under one lock. This
// daemon is the only way to the target, so it alone decides what the target receives.
class TargetGate {
 public:
  // Called from any thread when a queued request may start (true) or is refused (false).
  using Listener = std::function<void(bool)>;

  // 0 bytes per second: the link of the host is not limited.
  TargetGate(std::string_view service, std::uint64_t link_bytes_per_second)
      : target(service), link(link_bytes_per_second) {}

  // Chooses the id of the offer. The listener is called at most once, and only if the
  // verdict is kQueued.
  GateVerdict Offer(TimePoint now, const HopRequest& hop, WorkOffer& offer, Listener listener);
  void Finish(TimePoint now, RequestId id);
  // Takes the time on the link for an answer of the target; returns the time until its
  // first byte may go out.
  Duration ReserveLink(TimePoint now, std::uint64_t bytes);
  // Time that a long answer takes on the link.
  Duration GetTransferTime(std::uint64_t bytes) const { return this->link.GetTransferTime(bytes); }
  // Returns whether the request had already been admitted; then it has to be finished.
  bool Cancel(TimePoint now, RequestId id);
  // To be called regularly while requests wait.
  void Expire(TimePoint now);

  AnnouncementVerdict NoteAnnouncement(TimePoint now, const TargetAnnouncement& announcement);
  void NoteLeft(TimePoint now, std::string_view id, std::uint64_t born_unix_ms);
  void NoteRecord(TimePoint now, const LocalTargetRecord& record);
  void NoteHealth(TimePoint now, bool healthy, std::string_view id, std::uint32_t slots);
  void NoteConnectionRefused(TimePoint now);
  bool TakeProofTurn(TimePoint now);
  // Whether a lost connection is a reason to look now if the target still listens. Several
  // connections are lost at once; one look is enough.
  bool TakeListenCheck(TimePoint now);
  // When the present target started; 0 while it is not known.
  std::uint64_t GetTargetBorn();

  // State of the target for the answer to a request of the priority.
  HopReport MakeReport(TimePoint now, std::uint32_t priority);
  LocalTargetRecord MakeRecord();
  // This daemon is about to stop: requests are still served, but others are told to send
  // further ones elsewhere.
  void SetLeaving();

 private:
  // Shorter than the time in which a target restarts.
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
  std::unordered_map<RequestId, Listener> listeners;
  RequestId last_id = 0;
  TimePoint listen_checked_at;
  bool leaving = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_PROXY_TARGET_GATE_H_
