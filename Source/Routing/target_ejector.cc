#include "Routing/target_ejector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lacewingbridge {

void TargetEjector::SetTargets(TimePoint now, std::span<const std::string_view> addresses) {
  std::map<std::string, Entry, std::less<>> kept;
  for (std::string_view address : addresses) {
    const auto found = this->entries.find(address);
    kept.emplace(address, found == this->entries.end() ? Entry{} : found->second);
  }
  this->entries = std::move(kept);
  this->EndSurplusEjections(now);
}

void TargetEjector::EndSurplusEjections(TimePoint now) {
  std::vector<Entry*> ejected;
  for (auto& [address, entry] : this->entries) {
    if (entry.ejected_until > now) {
      ejected.push_back(&entry);
    }
  }
  std::sort(ejected.begin(), ejected.end(), [](const Entry* left, const Entry* right) {
    return left->ejected_until < right->ejected_until;
  });
  const std::size_t limit = this->GetEjectionLimit();
  for (std::size_t i = 0; i + limit < ejected.size(); ++i) {
    ejected[i]->ejected_until = now;
  }
}

bool TargetEjector::RecordFailure(TimePoint now, std::string_view address,
                                  std::uint32_t consecutive_failures) {
  const auto found = this->entries.find(address);
  // A request that was sent before the ejection says nothing new.
  if (found == this->entries.end() || found->second.ejected_until > now ||
      consecutive_failures < kFailureThreshold) {
    return false;
  }
  if (this->CountEjected(now) + 1 > this->GetEjectionLimit()) {
    return false;
  }
  Entry& entry = found->second;
  // After as long a time without ejection as the longest one, the doubling starts anew.
  const bool recent =
      entry.length > Duration{0} && now - entry.ejected_until <= Duration(kLongestEjection);
  entry.length = recent ? std::min(entry.length * 2, kLongestEjection) : kFirstEjection;
  entry.ejected_until = now + entry.length;
  entry.ejected = true;
  return true;
}

void TargetEjector::RecordSuccess(std::string_view address) {
  const auto found = this->entries.find(address);
  if (found != this->entries.end()) {
    found->second.ejected = false;
  }
}

bool TargetEjector::IsEjected(TimePoint now, std::string_view address) const {
  const auto found = this->entries.find(address);
  return found != this->entries.end() && found->second.ejected_until > now;
}

bool TargetEjector::IsOnProbation(TimePoint now, std::string_view address) const {
  const auto found = this->entries.find(address);
  return found != this->entries.end() && found->second.ejected &&
         found->second.ejected_until <= now;
}

std::size_t TargetEjector::CountEjected(TimePoint now) const {
  return static_cast<std::size_t>(
      std::count_if(this->entries.begin(), this->entries.end(),
                    [now](const auto& item) { return item.second.ejected_until > now; }));
}

}  // namespace lacewingbridge
