#include "Version/version_holder.h"

#include <algorithm>
#include <utility>

#include "Core/digest.h"
#include "Version/version_order.h"

namespace lacewingbridge {

VersionHolder::VersionHolder(VersionHistoryLimits history_limits) : limits(history_limits) {}

OfferOutcome VersionHolder::Offer(RulesVersion version) {
  const VersionStamp held = this->GetStamp();
  if (version.stamp == held) {
    return OfferOutcome::kSame;
  }
  if (!IsNewer(version.stamp, held)) {
    return OfferOutcome::kOlder;
  }
  if (ComputeDigest(version.text) != version.stamp.digest) {
    return OfferOutcome::kDigestMismatch;
  }
  this->text_bytes += version.text.size();
  this->history.push_back(std::make_shared<const RulesVersion>(std::move(version)));
  this->TrimHistory();
  return OfferOutcome::kApplied;
}

std::shared_ptr<const RulesVersion> VersionHolder::GetHeld() const {
  return this->history.empty() ? nullptr : this->history.back();
}

VersionStamp VersionHolder::GetStamp() const {
  return this->history.empty() ? VersionStamp{} : this->history.back()->stamp;
}

std::shared_ptr<const RulesVersion> VersionHolder::FindVersion(const VersionStamp& stamp) const {
  const auto found = std::find_if(this->history.begin(), this->history.end(),
                                  [&](const auto& version) { return version->stamp == stamp; });
  return found == this->history.end() ? nullptr : *found;
}

void VersionHolder::TrimHistory() {
  while (this->history.size() > 1 && (this->history.size() > this->limits.max_versions ||
                                      this->text_bytes > this->limits.max_text_bytes)) {
    this->text_bytes -= this->history.front()->text.size();
    this->history.pop_front();
  }
}

}  // namespace lacewingbridge
