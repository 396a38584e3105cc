#include "Admission/link_schedule.h"

#include <algorithm>

namespace lacewingbridge {

LinkSchedule::LinkSchedule(std::uint64_t link_bytes_per_second)
    : rate(link_bytes_per_second * kScheduledPercent / 100) {}

Duration LinkSchedule::GetTransmissionTime(std::uint64_t bytes) const {
  if (this->rate == 0) {
    return Duration{0};
  }
  constexpr std::uint64_t kMicrosecondsPerSecond = 1'000'000;
  return Duration(static_cast<Duration::rep>(bytes * kMicrosecondsPerSecond / this->rate));
}

Duration LinkSchedule::GetTransferTime(std::uint64_t bytes) const {
  return bytes <= kMaxShortBytes ? Duration{0} : this->GetTransmissionTime(bytes);
}

Duration LinkSchedule::EstimateWait(TimePoint now) const {
  return std::max(this->free_at - now, Duration{0}) +
         this->GetTransmissionTime(this->expected_bytes);
}

void LinkSchedule::AddExpectedResponse(RequestId id, std::uint64_t bytes) {
  if (this->rate > 0 && bytes > kMaxShortBytes && this->expected.emplace(id, bytes).second) {
    this->expected_bytes += bytes;
  }
}

void LinkSchedule::RemoveExpectedResponse(RequestId id) {
  const auto found = this->expected.find(id);
  if (found != this->expected.end()) {
    this->expected_bytes -= found->second;
    this->expected.erase(found);
  }
}

Duration LinkSchedule::Reserve(TimePoint now, std::uint64_t bytes) {
  const TimePoint begin = std::max(this->free_at, now);
  this->free_at = begin + this->GetTransmissionTime(bytes + kHeaderBytes);
  return bytes <= kMaxShortBytes ? Duration{0} : begin - now;
}

}  // namespace lacewingbridge
