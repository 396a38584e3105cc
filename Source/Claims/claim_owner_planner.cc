#include "Claims/claim_owner_planner.h"

#include <algorithm>
#include <cstddef>
#include <utility>
#include <vector>

namespace lacewingbridge {

void ClaimOwnerPlanner::NoteHost(TimePoint now, std::string_view host, std::uint64_t incarnation,
                                 ClaimHostStatus status) {
  const auto found = this->hosts.find(host);
  if (found == this->hosts.end()) {
    this->hosts.emplace(host, HostState{incarnation, status, now});
    return;
  }
  HostState& state = found->second;
  if (state.incarnation != incarnation || state.status != status) {
    state = HostState{incarnation, status, now};
  }
}

std::optional<ClaimOwnerMap> ClaimOwnerPlanner::Propose(TimePoint now, std::uint64_t unix_ms,
                                                        const ClaimOwnerView& view,
                                                        bool store_has_no_map) {
  if (view.GetEpoch() == 0) {
    return store_has_no_map ? this->ProposeFirst(now, unix_ms) : std::nullopt;
  }
  if (view.GetEpoch() != this->known_epoch) {
    this->known_epoch = view.GetEpoch();
    this->known_since = now;
  }
  if (now - this->known_since < this->limits.change_interval) {
    return std::nullopt;
  }
  const std::span<const std::string> current = view.GetHosts();
  const std::size_t gone_count = this->CountGone(view);
  const bool few_gone = gone_count * kIsolationDivisor < current.size();
  ClaimOwnerMap next;
  next.epoch = view.GetEpoch() + 1;
  next.created_unix_ms = unix_ms;
  for (std::size_t i = 0; i < current.size(); ++i) {
    if (!this->IsRemovable(now, current[i], few_gone)) {
      next.hosts.push_back(current[i]);
      next.incarnations.push_back(view.GetIncarnation(i));
    }
  }
  const bool removed_any = next.hosts.size() != current.size();
  if (gone_count == 0) {
    this->AddSettledHosts(now, view, next);
  }
  const bool changed = removed_any || next.hosts.size() != current.size();
  if (!changed || next.hosts.empty()) {
    return std::nullopt;
  }
  return next;
}

std::optional<ClaimOwnerMap> ClaimOwnerPlanner::ProposeFirst(TimePoint now,
                                                             std::uint64_t unix_ms) const {
  ClaimOwnerMap first;
  first.epoch = 1;
  first.created_unix_ms = unix_ms;
  for (const auto& [host, state] : this->hosts) {
    if (state.status != ClaimHostStatus::kAlive) {
      continue;
    }
    if (now - state.since < this->limits.first_map_delay) {
      return std::nullopt;
    }
    first.hosts.push_back(host);
    first.incarnations.push_back(state.incarnation);
  }
  return first.hosts.empty() ? std::nullopt : std::optional(std::move(first));
}

bool ClaimOwnerPlanner::IsRemovable(TimePoint now, std::string_view host, bool few_gone) const {
  const auto found = this->hosts.find(host);
  if (found == this->hosts.end()) {
    return false;
  }
  const HostState& state = found->second;
  if (state.status == ClaimHostStatus::kGone) {
    return few_gone && now - state.since > this->limits.claim_lifetime;
  }
  return state.status == ClaimHostStatus::kDraining;
}

std::size_t ClaimOwnerPlanner::CountGone(const ClaimOwnerView& view) const {
  const std::span<const std::string> current = view.GetHosts();
  return static_cast<std::size_t>(
      std::count_if(current.begin(), current.end(), [this](const std::string& host) {
        const auto found = this->hosts.find(host);
        return found == this->hosts.end() || found->second.status == ClaimHostStatus::kGone;
      }));
}

void ClaimOwnerPlanner::AddSettledHosts(TimePoint now, const ClaimOwnerView& view,
                                        ClaimOwnerMap& next) const {
  for (const auto& [host, state] : this->hosts) {
    if (state.status == ClaimHostStatus::kAlive &&
        now - state.since >= this->limits.addition_delay && !view.HasHost(host)) {
      next.hosts.push_back(host);
      next.incarnations.push_back(state.incarnation);
    }
  }
}

}  // namespace lacewingbridge
