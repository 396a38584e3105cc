#include "Proxy/target_gate.h"

#include <cmath>
#include <utility>
#include <vector>

namespace lacewingbridge {

std::string_view DescribeGateVerdict(GateVerdict verdict) {
  switch (verdict) {
    case GateVerdict::kAdmitted:
      return "admitted";
    case GateVerdict::kQueued:
      return "queued";
    case GateVerdict::kWrongTarget:
      return "wrong_target";
    case GateVerdict::kNotAccepting:
      return "not_accepting";
    case GateVerdict::kNoCapacity:
      return "no_room";
    case GateVerdict::kTimedOut:
      return "time_over";
    case GateVerdict::kFailing:
      return "target_failing";
    case GateVerdict::kSlowMoment:
      return "slow_moment";
    case GateVerdict::kBeyondShare:
      return "beyond_share";
  }
  return "invalid";
}

// Listeners are called after the lock is released, because they may call the gate again.
template <typename Action>
auto TargetGate::Change(TimePoint now, Action&& action) {
  std::vector<Notification> notifications;
  std::unique_lock lock(this->mutex);
  auto result = std::forward<Action>(action)(notifications);
  this->RefreshSlots(now, notifications);
  lock.unlock();
  Notify(notifications);
  return result;
}

void TargetGate::RefreshSlots(TimePoint now, std::vector<Notification>& notifications) {
  const std::uint32_t slots = this->target.IsAccepting(now) ? this->target.GetSlots() : 0;
  if (slots != this->admission.GetSlots()) {
    this->Collect(this->admission.SetSlots(now, slots), notifications);
  }
}

void TargetGate::Collect(const AdmissionRelease& release,
                         std::vector<Notification>& notifications) {
  const auto take = [&](RequestId id, bool admitted) {
    const auto found = this->listeners.find(id);
    if (found != this->listeners.end()) {
      notifications.push_back({std::move(found->second), admitted});
      this->listeners.erase(found);
    }
  };
  for (const RequestId id : release.admitted) {
    take(id, true);
  }
  for (const RequestId id : release.refused) {
    this->link.RemoveExpectedResponse(id);
    take(id, false);
  }
}

void TargetGate::Notify(const std::vector<Notification>& notifications) {
  for (const Notification& notification : notifications) {
    notification.listener(notification.admitted);
  }
}

GateVerdict TargetGate::Offer(TimePoint now, const HopRequest& hop, WorkOffer& offer,
                              Listener listener) {
  return this->Change(now, [&](std::vector<Notification>& notifications) {
    this->RefreshSlots(now, notifications);
    if (!hop.target_id.empty() && hop.target_id != this->target.GetId()) {
      return GateVerdict::kWrongTarget;
    }
    if (hop.service != this->target.GetService()) {
      return GateVerdict::kWrongTarget;
    }
    if (!this->target.IsAccepting(now)) {
      return GateVerdict::kNotAccepting;
    }
    if (!this->throttle.TryAdmit()) {
      return GateVerdict::kFailing;
    }
    offer.id = ++this->last_id;
    offer.has_alternatives = hop.has_alternatives;
    offer.transfer = this->link.GetTransferTime(hop.answer_bytes);
    offer.link_free_at = now + this->link.EstimateWait(now);
    offer.predicted_end = this->admission.PredictEnd(now, offer);
    switch (this->admission.Offer(now, offer)) {
      case AdmissionVerdict::kAdmitted:
        this->link.AddExpectedResponse(offer.id, hop.answer_bytes);
        return GateVerdict::kAdmitted;
      case AdmissionVerdict::kQueued:
        this->link.AddExpectedResponse(offer.id, hop.answer_bytes);
        this->listeners.emplace(offer.id, std::move(listener));
        return GateVerdict::kQueued;
      case AdmissionVerdict::kRefusedDeadline:
        return GateVerdict::kTimedOut;
      case AdmissionVerdict::kRefusedNoSlots:
        return GateVerdict::kNotAccepting;
      case AdmissionVerdict::kRefusedSlowMoment:
        return GateVerdict::kSlowMoment;
      case AdmissionVerdict::kRefusedBeyondShare:
        return GateVerdict::kBeyondShare;
      case AdmissionVerdict::kRefusedQueueFull:
      case AdmissionVerdict::kRefusedLowPriority:
        break;
    }
    return GateVerdict::kNoCapacity;
  });
}

void TargetGate::Finish(TimePoint now, RequestId id, RunResult result) {
  this->Change(now, [&](std::vector<Notification>& notifications) {
    this->link.RemoveExpectedResponse(id);
    if (result != RunResult::kNoResult) {
      this->throttle.RecordEnd(result == RunResult::kFailed);
    }
    this->Collect(this->admission.Finish(now, id, result == RunResult::kServed), notifications);
    return true;
  });
}

void TargetGate::RecordWorkPercent(TimePoint now, std::uint32_t percent) {
  const std::lock_guard guard(this->mutex);
  this->admission.RecordWorkPercent(now, percent);
}

Duration TargetGate::ReserveLink(TimePoint now, std::uint64_t bytes) {
  const std::lock_guard guard(this->mutex);
  return this->link.Reserve(now, bytes);
}

bool TargetGate::Cancel(TimePoint now, RequestId id) {
  return this->Change(now, [&](std::vector<Notification>&) {
    this->admission.Cancel(id);
    this->link.RemoveExpectedResponse(id);
    return this->listeners.erase(id) == 0;
  });
}

void TargetGate::Expire(TimePoint now) {
  this->Change(now, [&](std::vector<Notification>& notifications) {
    this->Collect(this->admission.Expire(now), notifications);
    return true;
  });
}

void TargetGate::SetRunWindow(Duration window) {
  const std::lock_guard guard(this->mutex);
  this->runs.SetWindow(window);
}

void TargetGate::RecordRunStart(TimePoint now, double repeat_share) {
  const std::lock_guard guard(this->mutex);
  this->runs.RecordStart(now, repeat_share);
}

void TargetGate::RecordRunEnd(double repeat_share) {
  const std::lock_guard guard(this->mutex);
  this->runs.RecordEnd(repeat_share);
}

double TargetGate::GetRepeatShare() {
  const std::lock_guard guard(this->mutex);
  return this->runs.GetRepeatShare();
}

double TargetGate::GetRunningRepeats() {
  const std::lock_guard guard(this->mutex);
  return this->runs.GetRunningRepeats();
}

double TargetGate::CountRuns(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  return this->runs.CountRuns(now);
}

void TargetGate::RecordFailedCall(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  this->runs.RecordFailedCall(now);
}

bool TargetGate::HasFailedCallSince(TimePoint start) {
  const std::lock_guard guard(this->mutex);
  return this->runs.HasFailedCallSince(start);
}

AnnouncementVerdict TargetGate::HandleAnnouncement(TimePoint now,
                                                   const TargetAnnouncement& announcement) {
  return this->Change(now, [&](std::vector<Notification>&) {
    const std::uint64_t earlier_start = this->target.GetStartUnixMs();
    const AnnouncementVerdict verdict = this->target.HandleAnnouncement(announcement);
    if (this->target.GetStartUnixMs() != earlier_start) {
      this->throttle.Reset();
    }
    return verdict;
  });
}

void TargetGate::HandleLeave(TimePoint now, std::string_view id, std::uint64_t born_unix_ms) {
  this->Change(now, [&](std::vector<Notification>&) {
    this->target.HandleLeave(id, born_unix_ms);
    return true;
  });
}

void TargetGate::HandleStoredRecord(TimePoint now, const LocalTargetRecord& record) {
  this->Change(now, [&](std::vector<Notification>&) {
    this->target.HandleStoredRecord(record);
    return true;
  });
}

void TargetGate::HandleHealthResponse(TimePoint now, bool healthy, std::string_view id,
                                      std::uint32_t slots) {
  this->Change(now, [&](std::vector<Notification>&) {
    this->target.HandleHealthResponse(healthy, id, slots);
    return true;
  });
}

void TargetGate::HandleConnectionRefused(TimePoint now) {
  this->Change(now, [&](std::vector<Notification>&) {
    this->target.HandleConnectionRefused(now);
    return true;
  });
}

bool TargetGate::TakeHealthCheckTurn(TimePoint now) {
  return this->Change(
      now, [&](std::vector<Notification>&) { return this->target.TakeHealthCheckTurn(now); });
}

bool TargetGate::TakeListenCheck(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  if (now - this->listen_checked_at < kListenCheckInterval) {
    return false;
  }
  this->listen_checked_at = now;
  return true;
}

std::uint64_t TargetGate::GetTargetStartUnixMs() {
  const std::lock_guard guard(this->mutex);
  return this->target.GetStartUnixMs();
}

Duration TargetGate::GetShareWait(TimePoint now, std::string_view workspace) {
  const std::lock_guard guard(this->mutex);
  return this->admission.GetShareWait(now, workspace);
}

TargetAdmission::ShareCounts TargetGate::CountShares(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  return this->admission.CountShares(now);
}

HopReport TargetGate::MakeReport(TimePoint now, const WorkOffer& offer) {
  const std::lock_guard guard(this->mutex);
  HopReport report;
  report.running = static_cast<std::uint32_t>(this->admission.GetRunningCount());
  report.waiting = static_cast<std::uint32_t>(this->admission.GetWaitingCount());
  report.slots = this->target.GetSlots();
  report.expected_wait_ms = static_cast<std::uint32_t>(
      CountMilliseconds(this->admission.EstimateWait(now, offer.priority)));
  report.service_time_ms =
      static_cast<std::uint32_t>(CountMilliseconds(this->admission.GetServiceTimes().GetMean()));
  report.work_class = offer.GetWorkClass();
  report.class_time_ms = static_cast<std::uint32_t>(
      CountMilliseconds(this->admission.GetServiceTimes().GetMeanOf(offer.GetWorkClass())));
  if (const WorkPace& pace = this->admission.GetPace(); pace.IsKnown()) {
    report.work_percent = static_cast<std::uint32_t>(std::lround(pace.EstimateFactor(now) * 100));
    report.work_lifetime_ms = static_cast<std::uint32_t>(CountMilliseconds(pace.GetLifetime()));
  }
  report.accepting = this->target.IsAccepting(now) && !this->leaving;
  report.target_id = this->target.GetId();
  report.link_wait_ms = static_cast<std::uint32_t>(CountMilliseconds(this->link.EstimateWait(now)));
  report.link_bytes_per_second = this->link.GetRate();
  report.failing = this->throttle.IsThrottling();
  return report;
}

LocalTargetRecord TargetGate::MakeRecord() {
  const std::lock_guard guard(this->mutex);
  LocalTargetRecord record = this->target.MakeRecord();
  record.accepting = record.accepting && !this->leaving;
  return record;
}

void TargetGate::SetLeaving() {
  const std::lock_guard guard(this->mutex);
  this->leaving = true;
}

}  // namespace lacewingbridge
