#include "Claims/claim_wait_list.h"

#include <algorithm>

namespace lacewingbridge {

void ClaimWaitList::AddChange(TimePoint now, const ClaimOwnerView& before,
                              const ClaimOwnerView& after) {
  if (!after.HasHost(this->host)) {
    return;
  }
  const bool was_owner = before.HasHost(this->host);
  Change change;
  change.before = before;
  for (const std::string& previous : before.GetHosts()) {
    const bool stays = after.HasHost(previous);
    if (previous == this->host || (was_owner && stays)) {
      continue;
    }
    HostWait wait;
    if (!stays) {
      wait.release_at = now + this->claim_memory;
    }
    change.hosts.emplace(previous, wait);
  }
  if (!change.hosts.empty()) {
    this->changes.emplace(after.GetEpoch(), std::move(change));
  }
}

void ClaimWaitList::NoteMap(TimePoint now, const ClaimOwnerView& view) {
  for (auto& [epoch, change] : this->changes) {
    for (auto& [name, wait] : change.hosts) {
      if (!wait.release_at.has_value() && !view.HasHost(name)) {
        wait.release_at = now + this->claim_memory;
      }
    }
  }
}

void ClaimWaitList::BlockAll(TimePoint now, std::uint64_t epoch) {
  this->changes[epoch].all_until = now + this->claim_memory;
}

void ClaimWaitList::ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch) {
  for (auto& [change_epoch, change] : this->changes) {
    const auto found = change.hosts.find(from_host);
    if (change_epoch <= epoch && found != change.hosts.end() &&
        !found->second.release_at.has_value()) {
      found->second.release_at = now + this->claim_memory;
    }
  }
}

void ClaimWaitList::Expire(TimePoint now) {
  for (auto& [epoch, change] : this->changes) {
    if (change.all_until.has_value() && *change.all_until <= now) {
      change.all_until.reset();
    }
    std::erase_if(change.hosts, [now](const auto& item) {
      return item.second.release_at.has_value() && *item.second.release_at <= now;
    });
  }
  std::erase_if(this->changes, [](const auto& item) {
    return !item.second.all_until.has_value() && item.second.hosts.empty();
  });
}

bool ClaimWaitList::IsBlocked(std::string_view key) const {
  return std::any_of(this->changes.begin(), this->changes.end(), [key](const auto& item) {
    const Change& change = item.second;
    return change.all_until.has_value() ||
           (!change.hosts.empty() && change.hosts.contains(change.before.FindOwner(key)));
  });
}

bool ClaimWaitList::IsBlockingAll() const {
  return std::any_of(this->changes.begin(), this->changes.end(),
                     [](const auto& item) { return item.second.all_until.has_value(); });
}

bool ClaimWaitList::HasWaitBefore(std::uint64_t epoch) const {
  return !this->changes.empty() && this->changes.begin()->first < epoch;
}

std::vector<ClaimWait> ClaimWaitList::ListWaits() const {
  std::vector<ClaimWait> waits;
  for (const auto& [epoch, change] : this->changes) {
    for (const auto& [name, wait] : change.hosts) {
      waits.push_back(ClaimWait{name, epoch});
    }
  }
  return waits;
}

std::optional<std::uint32_t> ClaimWaitList::GetNextPart(const ClaimWait& wait) const {
  const auto change = this->changes.find(wait.change_epoch);
  if (change == this->changes.end()) {
    return std::nullopt;
  }
  const auto found = change->second.hosts.find(wait.host);
  return found == change->second.hosts.end() ? std::nullopt
                                             : std::optional(found->second.next_part);
}

bool ClaimWaitList::IsFromOwner(const ClaimWait& wait, std::string_view key) const {
  const auto change = this->changes.find(wait.change_epoch);
  return change != this->changes.end() && change->second.before.FindOwner(key) == wait.host;
}

void ClaimWaitList::NotePart(const ClaimWait& wait, bool complete) {
  Change& change = this->changes.at(wait.change_epoch);
  if (!complete) {
    ++change.hosts.find(wait.host)->second.next_part;
    return;
  }
  change.hosts.erase(wait.host);
  if (change.hosts.empty() && !change.all_until.has_value()) {
    this->changes.erase(wait.change_epoch);
  }
}

}  // namespace lacewingbridge
