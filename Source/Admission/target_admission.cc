#include "Admission/target_admission.h"

#include <algorithm>
#include <utility>

#include "Core/duration_scale.h"

namespace lacewingbridge {

Duration TargetAdmission::EstimateServiceTime(TimePoint start, std::uint32_t work_class) const {
  return Scale(this->service_times.GetMeanOf(work_class), this->pace.EstimateFactor(start));
}

Duration TargetAdmission::GetServiceTimeWithMargin(TimePoint start,
                                                   std::uint32_t work_class) const {
  return this->EstimateServiceTime(start, work_class) * kServiceMarginTenths / 10;
}

Duration TargetAdmission::EstimateQueueTime(TimePoint now, std::int64_t requests) const {
  return Scale(this->service_times.GetMean(), this->pace.EstimateFactor(now)) * requests /
         this->slots;
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
  const TimePoint start = this->EstimateStart(now, this->GetRank(now, offer));
  const TimePoint ready = start + this->EstimateServiceTime(start, offer.GetWorkClass());
  return ComputeResponseEnd(ready, offer);
}

TimePoint TargetAdmission::GetLatestStart(TimePoint now, TimePoint start,
                                          const WorkOffer& offer) const {
  if (!this->IsOnTime(start, offer)) {
    return now + (offer.deadline - now) / kLateWaitDivisor;
  }
  return std::min(offer.objective_at - offer.transfer -
                      this->GetServiceTimeWithMargin(start, offer.GetWorkClass()),
                  now + this->service_times.GetMean());
}

AdmissionVerdict TargetAdmission::Offer(TimePoint now, const WorkOffer& offer) {
  if (this->slots == 0) {
    return AdmissionVerdict::kRefusedNoSlots;
  }
  if (offer.deadline <= now) {
    return AdmissionVerdict::kRefusedDeadline;
  }
  Rank rank = this->GetRank(now, offer);
  const TimePoint start = this->EstimateStart(now, rank);
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
  const TimePoint latest_start = this->GetLatestStart(now, start, offer);
  if (start <= latest_start) {
    this->waiting.push_back({offer, latest_start});
    return AdmissionVerdict::kQueued;
  }
  if (rank.excess == 0) {
    return AdmissionVerdict::kRefusedQueueFull;
  }
  rank.excess = 0;
  const TimePoint start_within_share = this->EstimateStart(now, rank);
  return start_within_share <= this->GetLatestStart(now, start_within_share, offer)
             ? AdmissionVerdict::kRefusedBeyondShare
             : AdmissionVerdict::kRefusedQueueFull;
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
    started.counted = this->service_times.GetMeanOf(offer.GetWorkClass());
    this->shares.AddUse(now, offer.workspace, started.counted);
  }
  this->running.emplace(offer.id, std::move(started));
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
  if (served || taken > this->service_times.GetMeanOf(work_class)) {
    this->service_times.Record(work_class, taken);
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

TimePoint TargetAdmission::EstimateStart(TimePoint now, const Rank& rank) const {
  if (this->running.size() < this->slots && this->waiting.empty()) {
    return now;
  }
  const auto ahead = std::count_if(
      this->waiting.begin(), this->waiting.end(),
      [&](const Waiting& other) { return !(rank < this->GetRank(now, other.offer)); });
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

std::int64_t TargetAdmission::GetExcess(TimePoint now, const WorkOffer& offer) const {
  return this->shares.GetExcess(now, offer.workspace) /
         std::max(this->service_times.GetMean(), Duration{1});
}

Duration TargetAdmission::GetShareWait(TimePoint now, std::string_view workspace) const {
  return FairShare::GetDecayTime(this->shares.GetExcess(now, workspace),
                                 this->service_times.GetMean());
}

TargetAdmission::Rank TargetAdmission::GetRank(TimePoint now, const WorkOffer& offer) const {
  const bool late = !this->IsOnTime(now, offer);
  return {offer.priority, late, this->GetExcess(now, offer),
          late ? now - offer.deadline : offer.objective_at - now};
}

AdmissionRelease TargetAdmission::Release(TimePoint now) {
  AdmissionRelease release = this->Expire(now);
  while (this->running.size() < this->slots && !this->waiting.empty()) {
    const auto next = std::min_element(
        this->waiting.begin(), this->waiting.end(), [&](const Waiting& left, const Waiting& right) {
          return this->GetRank(now, left.offer) < this->GetRank(now, right.offer);
        });
    this->Start(now, next->offer);
    release.admitted.push_back(next->offer.id);
    this->waiting.erase(next);
  }
  return release;
}

}  // namespace lacewingbridge
