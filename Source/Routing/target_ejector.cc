#include "Routing/target_ejector.h"

#include <algorithm>
#include <vector>

namespace lacewingbridge {

void TargetEjector::SetTargets(TimePoint now, std::span<const std::string_view> addresses) {
  this->target_count = addresses.size();
  std::erase_if(this->ejections, [addresses](const auto& item) {
    return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end();
  });
  this->EndSurplusEjections(now);
}

void TargetEjector::EndSurplusEjections(TimePoint now) {
  std::vector<Ejection*> current;
  for (auto& [address, ejection] : this->ejections) {
    if (ejection.until > now) {
      current.push_back(&ejection);
    }
  }
  std::sort(current.begin(), current.end(),
            [](const Ejection* left, const Ejection* right) { return left->until < right->until; });
  const std::size_t limit = this->GetEjectionLimit();
  for (std::size_t i = 0; i + limit < current.size(); ++i) {
    current[i]->until = now;
  }
}

bool TargetEjector::RecordFailure(TimePoint now, std::string_view address,
                                  std::uint32_t consecutive_failures) {
  // Failures during an ejection are ignored, since these requests were sent before it began.
  if (consecutive_failures < kFailureThreshold || this->IsEjected(now, address) ||
      this->CountEjected(now) + 1 > this->GetEjectionLimit()) {
    return false;
  }
  Ejection& ejection = this->ejections[std::string(address)];
  // The length starts again at kFirstEjection if the last ejection ended more than
  // kLongestEjection ago.
  const bool recent = ejection.length > Duration{0} && now - ejection.until <= kLongestEjection;
  ejection.length = recent ? std::min(ejection.length * 2, kLongestEjection) : kFirstEjection;
  ejection.until = now + ejection.length;
  ejection.on_probation = true;
  return true;
}

void TargetEjector::RecordSuccess(TimePoint now, std::string_view address) {
  const auto found = this->ejections.find(address);
  if (found == this->ejections.end() || found->second.until > now) {
    return;
  }
  if (now - found->second.until > kLongestEjection) {
    this->ejections.erase(found);
  } else {
    found->second.on_probation = false;
  }
}

void TargetEjector::EjectDead(TimePoint now, std::string_view address) {
  if (this->IsEjected(now, address) || this->CountEjected(now) + 1 > this->GetEjectionLimit()) {
    return;
  }
  Ejection& ejection = this->ejections[std::string(address)];
  ejection.length = kDeadEjection;
  ejection.until = now + kDeadEjection;
  ejection.on_probation = true;
}

void TargetEjector::RecordRestart(std::string_view address) {
  const auto found = this->ejections.find(address);
  if (found != this->ejections.end()) {
    this->ejections.erase(found);
  }
}

bool TargetEjector::IsEjected(TimePoint now, std::string_view address) const {
  const auto found = this->ejections.find(address);
  return found != this->ejections.end() && found->second.until > now;
}

bool TargetEjector::IsOnProbation(TimePoint now, std::string_view address) const {
  const auto found = this->ejections.find(address);
  return found != this->ejections.end() && found->second.until <= now && found->second.on_probation;
}

std::size_t TargetEjector::CountEjected(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(this->ejections.begin(), this->ejections.end(),
                    [now](const auto& item) { return item.second.until > now; }));
}

}  // namespace lacewingbridge
