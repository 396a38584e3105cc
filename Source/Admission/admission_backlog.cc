#include "Admission/admission_backlog.h"

namespace lacewingbridge {

void AdmissionBacklog::Add(std::size_t rank, const QueuedRequest& request) {
  RankQueue& rank_queue = this->rank_queues[rank];
  const std::uint64_t sequence = this->next_sequence++;
  rank_queue.by_arrival.emplace(sequence, request);
  rank_queue.by_deadline.emplace(DeadlineKey{request.deadline, sequence}, sequence);
}

const QueuedRequest& AdmissionBacklog::GetEarliest(std::size_t rank) const {
  const RankQueue& rank_queue = this->rank_queues[rank];
  return rank_queue.by_arrival.at(rank_queue.by_deadline.begin()->second);
}

const QueuedRequest& AdmissionBacklog::GetNewest(std::size_t rank) const {
  return this->rank_queues[rank].by_arrival.rbegin()->second;
}

QueuedRequest AdmissionBacklog::TakeEarliest(std::size_t rank) {
  RankQueue& rank_queue = this->rank_queues[rank];
  return Take(rank_queue, rank_queue.by_deadline.begin()->second);
}

QueuedRequest AdmissionBacklog::TakeNewest(std::size_t rank) {
  RankQueue& rank_queue = this->rank_queues[rank];
  return Take(rank_queue, rank_queue.by_arrival.rbegin()->first);
}

std::optional<QueuedRequest> AdmissionBacklog::TakeExpired(TimePoint time) {
  for (RankQueue& rank_queue : this->rank_queues) {
    if (!rank_queue.by_deadline.empty() && rank_queue.by_deadline.begin()->first.first <= time) {
      return Take(rank_queue, rank_queue.by_deadline.begin()->second);
    }
  }
  return std::nullopt;
}

QueuedRequest AdmissionBacklog::Take(RankQueue& rank_queue, std::uint64_t sequence) {
  const auto found = rank_queue.by_arrival.find(sequence);
  const QueuedRequest request = found->second;
  rank_queue.by_deadline.erase(DeadlineKey{request.deadline, sequence});
  rank_queue.by_arrival.erase(found);
  return request;
}

}  // namespace lacewingbridge
