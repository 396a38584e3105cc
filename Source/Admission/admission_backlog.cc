#include "Admission/admission_backlog.h"

namespace lacewingbridge {

void AdmissionBacklog::Add(std::size_t rank, const QueuedRequest& request) {
  Lane& lane = this->lanes[rank];
  const std::uint64_t sequence = this->next_sequence++;
  lane.by_arrival.emplace(sequence, request);
  lane.by_deadline.emplace(DeadlineKey{request.deadline, sequence}, sequence);
}

const QueuedRequest& AdmissionBacklog::GetEarliest(std::size_t rank) const {
  const Lane& lane = this->lanes[rank];
  return lane.by_arrival.at(lane.by_deadline.begin()->second);
}

const QueuedRequest& AdmissionBacklog::GetNewest(std::size_t rank) const {
  return this->lanes[rank].by_arrival.rbegin()->second;
}

QueuedRequest AdmissionBacklog::TakeEarliest(std::size_t rank) {
  Lane& lane = this->lanes[rank];
  return Take(lane, lane.by_deadline.begin()->second);
}

QueuedRequest AdmissionBacklog::TakeNewest(std::size_t rank) {
  Lane& lane = this->lanes[rank];
  return Take(lane, lane.by_arrival.rbegin()->first);
}

std::optional<QueuedRequest> AdmissionBacklog::TakeDue(TimePoint time) {
  for (Lane& lane : this->lanes) {
    if (!lane.by_deadline.empty() && lane.by_deadline.begin()->first.first <= time) {
      return Take(lane, lane.by_deadline.begin()->second);
    }
  }
  return std::nullopt;
}

QueuedRequest AdmissionBacklog::Take(Lane& lane, std::uint64_t sequence) {
  const auto found = lane.by_arrival.find(sequence);
  const QueuedRequest request = found->second;
  lane.by_deadline.erase(DeadlineKey{request.deadline, sequence});
  lane.by_arrival.erase(found);
  return request;
}

}  // namespace lacewingbridge
