#include "Admission/fair_share.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace lacewingbridge {

namespace {

// Below the slot time of the shortest requests.
constexpr double kNegligibleSeconds = 0.001;

double ToSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

}  // namespace

double FairShare::Use::GetSeconds(TimePoint now) const {
  return this->seconds * std::exp(-ToSeconds(now - this->at) / ToSeconds(kDecayTime));
}

void FairShare::Use::Add(TimePoint now, double more) {
  this->seconds = std::max(this->GetSeconds(now) + more, 0.0);
  this->at = now;
}

Duration FairShare::GetExcess(TimePoint now, std::string_view workspace) const {
  // A single workspace has nobody to share with.
  if (workspace.empty() || this->uses.size() < 2) {
    return Duration{0};
  }
  const auto found = this->uses.find(std::string(workspace));
  if (found == this->uses.end()) {
    return Duration{0};
  }
  const double share = this->total.GetSeconds(now) / static_cast<double>(this->uses.size());
  const double excess = std::max(found->second.GetSeconds(now) - share, 0.0);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(excess));
}

Duration FairShare::GetDecayTime(Duration excess, Duration until) {
  if (excess <= until || until <= Duration{0}) {
    return Duration{0};
  }
  const double ratio = static_cast<double>(excess.count()) / static_cast<double>(until.count());
  return std::chrono::duration_cast<Duration>(std::log(ratio) *
                                              std::chrono::duration<double>(kDecayTime));
}

void FairShare::AddUse(TimePoint now, std::string_view workspace, Duration slot_time) {
  if (workspace.empty()) {
    return;
  }
  Use& use = this->uses[std::string(workspace)];
  const double before = use.GetSeconds(now);
  use.Add(now, ToSeconds(slot_time));
  this->total.Add(now, use.seconds - before);
  if (++this->additions % kCleanupInterval == 0) {
    this->RemoveUpTo(now, kNegligibleSeconds);
  }
  if (this->uses.size() > kMaxWorkspaces) {
    this->RemoveUpTo(now, this->GetMedian(now));
  }
}

std::size_t FairShare::CountBeyond(TimePoint now, Duration excess) const {
  return static_cast<std::size_t>(std::count_if(
      this->uses.begin(), this->uses.end(),
      [&](const auto& entry) { return this->GetExcess(now, entry.first) >= excess; }));
}

double FairShare::GetMedian(TimePoint now) const {
  std::vector<double> sorted;
  sorted.reserve(this->uses.size());
  for (const auto& [workspace, use] : this->uses) {
    sorted.push_back(use.GetSeconds(now));
  }
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  return *middle;
}

void FairShare::RemoveUpTo(TimePoint now, double seconds) {
  std::erase_if(this->uses, [&](const auto& entry) {
    const double used = entry.second.GetSeconds(now);
    if (used <= seconds) {
      this->total.Add(now, -used);
    }
    return used <= seconds;
  });
}

}  // namespace lacewingbridge
