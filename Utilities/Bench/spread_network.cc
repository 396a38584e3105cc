#include "spread_network.h"

#include <utility>

namespace lacewingbridge {

namespace {

constexpr Duration kLocalLatency = std::chrono::microseconds(200);
constexpr Duration kRegionLatency = std::chrono::milliseconds(1);
constexpr Duration kRegionLinkLatency = std::chrono::milliseconds(8);

}  // namespace

std::uint64_t TrafficCounts::Sum(LinkKind link) const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : this->bytes.at(static_cast<std::size_t>(link))) {
    sum += count;
  }
  return sum;
}

std::uint64_t TrafficCounts::SumAll() const {
  return this->Sum(LinkKind::kLocal) + this->Sum(LinkKind::kRegion) +
         this->Sum(LinkKind::kRegionLink);
}

TrafficCounts operator-(const TrafficCounts& later, const TrafficCounts& earlier) {
  TrafficCounts result = later;
  for (std::size_t link = 0; link < kLinkKinds; ++link) {
    for (std::size_t kind = 0; kind < kTrafficKinds; ++kind) {
      result.bytes.at(link).at(kind) -= earlier.bytes.at(link).at(kind);
    }
  }
  return result;
}

void SpreadNetwork::Schedule(TimePoint when, std::function<void()> action) {
  this->events.push({when, this->next_order++, std::move(action)});
}

void SpreadNetwork::RunUntil(TimePoint limit) {
  while (!this->events.empty() && this->events.top().when <= limit) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.when;
    event.action();
  }
  this->now = limit;
}

LinkKind SpreadNetwork::GetLink(std::size_t from, std::size_t to) {
  if (from == to) {
    return LinkKind::kLocal;
  }
  return GetRegion(from) == GetRegion(to) ? LinkKind::kRegion : LinkKind::kRegionLink;
}

Duration SpreadNetwork::GetLatency(std::size_t from, std::size_t to) {
  switch (GetLink(from, to)) {
    case LinkKind::kLocal:
      return kLocalLatency;
    case LinkKind::kRegion:
      return kRegionLatency;
    default:
      return kRegionLinkLatency;
  }
}

bool SpreadNetwork::IsReachable(std::size_t from, std::size_t to) const {
  return !this->cut || GetRegion(from) == GetRegion(to);
}

bool SpreadNetwork::Send(std::size_t from, std::size_t to, TrafficKind kind, std::size_t bytes,
                         std::function<void()> arrival) {
  if (!this->IsReachable(from, to)) {
    return false;
  }
  const auto link = static_cast<std::size_t>(GetLink(from, to));
  this->traffic.bytes.at(link).at(static_cast<std::size_t>(kind)) += bytes;
  this->Schedule(this->now + GetLatency(from, to), std::move(arrival));
  return true;
}

}  // namespace lacewingbridge
