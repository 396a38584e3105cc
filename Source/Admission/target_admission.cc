#include "Admission/target_admission.h"

#include <algorithm>
#include <utility>

#include "Core/duration_scale.h"

namespace lacewingbridge {

namespace {

void UpdateMovingAverage(Duration& average, Duration newest, int divisor) {
  average += (newest - average) / divisor;
}

}  // namespace

Duration TargetAdmission::GetServiceTimeOf(std::uint32_t work_class) const {
  const auto found = this->service_times.find(work_class);
  return found == this->service_times.end() ? this->service_time : found->second;
}

Duration TargetAdmission::EstimateServiceTime(TimePoint start, std::uint32_t work_class) const {
  return Scale(this->GetServiceTimeOf(work_class), this->pace.EstimateFactor(start));
}

Duration TargetAdmission::GetServiceTimeWithMargin(TimePoint start,
                                                   std::uint32_t work_class) const {
  return this->EstimateServiceTime(start, work_class) * kServiceMarginTenths / 10;
}

Duration TargetAdmission::EstimateQueueTime(TimePoint now, std::int64_t requests) const {
  return Scale(this->service_time, this->pace.EstimateFactor(now)) * requests / this->slots;
}

TimePoint TargetAdmission::ComputeResponseEnd(TimePoint ready, const WorkOffer& offer) {
  return offer.transfer == Duration{0} ? ready
                                       : std::max(ready, offer.link_free_at) + offer.transfer;
}

bool TargetAdmission::IsOnTime(TimePoint start, const WorkOffer& offer) const {
  const TimePoint ready = start + this->GetServiceTimeWithMargin(start, offer.GetWorkClass());
  return ComputeResponseEnd(ready, offer) + offer.transfer * kLinkMarginResponses <=
         offer.objective_at;
}

TimePoint TargetAdmission::PredictEnd(TimePoint now, const WorkOffer& offer) const {
  if (this->slots == 0) {
    return now;
  }
  const TimePoint start = this->EstimateStart(now, offer);
  const TimePoint ready = start + this->EstimateServiceTime(start, offer.GetWorkClass());
  return ComputeResponseEnd(ready, offer);
}

AdmissionVerdict TargetAdmission::Offer(TimePoint now, const WorkOffer& offer) {
  if (this->slots == 0) {
    return AdmissionVerdict::kRefusedNoSlots;
  }
  if (offer.deadline <= now) {
    return AdmissionVerdict::kRefusedDeadline;
  }
  const TimePoint start = this->EstimateStart(now, offer);
  const Duration time_left = offer.deadline - now;
  TimePoint latest_start = now + time_left / kLateWaitDivisor;
  const bool on_time = this->IsOnTime(start, offer);
  // A long response that is late would delay the responses behind it as well, so its request is
  // only admitted while the link is idle.
  if (!on_time && !IsLinkFreeBy(now + offer.transfer, offer)) {
    return AdmissionVerdict::kRefusedQueueFull;
  }
  if (!on_time && offer.has_alternatives && this->pace.EstimateFactor(now) > kSlowFactor) {
    return AdmissionVerdict::kRefusedSlowMoment;
  }
  if (this->running.size() < this->slots && this->waiting.empty()) {
    this->Start(now, offer);
    return AdmissionVerdict::kAdmitted;
  }
  if (on_time) {
    latest_start = std::min(offer.objective_at - offer.transfer -
                                this->GetServiceTimeWithMargin(start, offer.GetWorkClass()),
                            now + this->service_time);
  }
  if (start > latest_start) {
    return AdmissionVerdict::kRefusedQueueFull;
  }
  this->waiting.push_back({offer, latest_start});
  return AdmissionVerdict::kQueued;
}

bool TargetAdmission::IsShared(const WorkOffer& offer) const {
  return std::any_of(this->waiting.begin(), this->waiting.end(), [&](const Waiting& entry) {
    return entry.offer.workspace != offer.workspace;
  });
}

void TargetAdmission::Start(TimePoint now, const WorkOffer& offer) {
  Running started{offer.GetWorkClass(), now, this->pace.EstimateFactor(now), offer.workspace,
                  Duration{0}};
  if (!offer.workspace.empty() && this->IsShared(offer)) {
    started.counted = this->GetServiceTimeOf(offer.GetWorkClass());
    this->shares.AddUse(now, offer.workspace, started.counted);
  }
  this->running.emplace(offer.id, std::move(started));
}

void TargetAdmission::RecordServiceTime(std::uint32_t work_class, Duration taken) {
  auto [of_class, added] = this->service_times.try_emplace(work_class, taken);
  UpdateMovingAverage(of_class->second, taken, kServiceTimeDivisor);
  UpdateMovingAverage(this->service_time, taken, kServiceTimeDivisor);
}

AdmissionRelease TargetAdmission::Finish(TimePoint now, RequestId id, bool served) {
  const auto found = this->running.find(id);
  if (found == this->running.end()) {
    return {};
  }
  const double factor = (found->second.start_factor + this->pace.EstimateFactor(now)) / 2;
  const Duration taken = Scale(now - found->second.started_at, 1 / factor);
  const std::uint32_t work_class = found->second.work_class;
  if (found->second.counted != Duration{0}) {
    const Duration slot_time = now - found->second.started_at;
    this->shares.AddUse(now, found->second.workspace, slot_time - found->second.counted);
  }
  if (served || taken > this->GetServiceTimeOf(work_class)) {
    this->RecordServiceTime(work_class, taken);
  }
  this->running.erase(found);
  return this->Release(now);
}

void TargetAdmission::Cancel(RequestId id) {
  std::erase_if(this->waiting, [id](const Waiting& entry) { return entry.offer.id == id; });
}

AdmissionRelease TargetAdmission::Expire(TimePoint now) {
  AdmissionRelease release;
  std::erase_if(this->waiting, [&](const Waiting& entry) {
    const bool late = this->slots == 0 || entry.latest_start <= now || entry.offer.deadline <= now;
    if (late) {
      release.refused.push_back(entry.offer.id);
    }
    return late;
  });
  return release;
}

AdmissionRelease TargetAdmission::SetSlots(TimePoint now, std::uint32_t new_slots) {
  this->slots = new_slots;
  return this->Release(now);
}

TimePoint TargetAdmission::EstimateStart(TimePoint now, const WorkOffer& offer) const {
  if (this->running.size() < this->slots && this->waiting.empty()) {
    return now;
  }
  const Waiting entry{offer, now};
  const auto ahead =
      std::count_if(this->waiting.begin(), this->waiting.end(),
                    [&](const Waiting& other) { return !this->GoesBefore(now, entry, other); });
  return now + this->EstimateQueueTime(now, ahead + 1);
}

Duration TargetAdmission::EstimateWait(TimePoint now, std::uint32_t priority) const {
  if (this->slots == 0 || (this->running.size() < this->slots && this->waiting.empty())) {
    return Duration{0};
  }
  const auto ahead =
      std::count_if(this->waiting.begin(), this->waiting.end(),
                    [priority](const Waiting& entry) { return entry.offer.priority <= priority; });
  return this->EstimateQueueTime(now, ahead + 1);
}

Duration TargetAdmission::GetExcess(TimePoint now, const WorkOffer& offer) const {
  const Duration excess = this->shares.GetExcess(now, offer.workspace);
  return excess <= this->service_time ? Duration{0} : excess;
}

bool TargetAdmission::GoesBefore(TimePoint now, const Waiting& left, const Waiting& right) const {
  if (left.offer.priority != right.offer.priority) {
    return left.offer.priority < right.offer.priority;
  }
  const bool left_on_time = this->IsOnTime(now, left.offer);
  if (left_on_time != this->IsOnTime(now, right.offer)) {
    return left_on_time;
  }
  const Duration left_excess = this->GetExcess(now, left.offer);
  const Duration right_excess = this->GetExcess(now, right.offer);
  if (left_excess != right_excess) {
    return left_excess < right_excess;
  }
  return left_on_time ? left.offer.objective_at < right.offer.objective_at
                      : left.offer.deadline > right.offer.deadline;
}

AdmissionRelease TargetAdmission::Release(TimePoint now) {
  AdmissionRelease release = this->Expire(now);
  while (this->running.size() < this->slots && !this->waiting.empty()) {
    const auto next = std::min_element(this->waiting.begin(), this->waiting.end(),
                                       [&](const Waiting& left, const Waiting& right) {
                                         return this->GoesBefore(now, left, right);
                                       });
    this->Start(now, next->offer);
    release.admitted.push_back(next->offer.id);
    this->waiting.erase(next);
  }
  return release;
}

}  // namespace lacewingbridge
