#include "Claims/claim_wait_list.h"

#include <algorithm>

#include "Claims/claim_limits.h"

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
      wait.release_at = now + this->GetRemovedWait();
    }
    change.hosts.emplace(previous, wait);
  }
  if (!change.hosts.empty()) {
    this->changes.emplace(after.GetEpoch(), std::move(change));
  }
}

void ClaimWaitList::OnMapAdopted(TimePoint now, const ClaimOwnerView& view) {
  for (auto& [epoch, change] : this->changes) {
    for (auto& [name, wait] : change.hosts) {
      if (!wait.release_at.has_value() && !view.HasHost(name)) {
        wait.release_at = now + this->GetRemovedWait();
      }
    }
  }
}

void ClaimWaitList::BlockAll(TimePoint now, std::uint64_t epoch,
                             std::optional<std::uint64_t> new_key_bound_unix_ms) {
  Change& change = this->changes[epoch];
  change.all_blocked_until = now + this->claim_lifetime;
  change.new_key_bound_unix_ms = new_key_bound_unix_ms;
  change.settled_at = now + kMapSettleTime;
}

void ClaimWaitList::ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch) {
  for (auto& [change_epoch, change] : this->changes) {
    const auto found = change.hosts.find(from_host);
    if (change_epoch <= epoch && found != change.hosts.end() &&
        !found->second.release_at.has_value()) {
      found->second.release_at = now + this->claim_lifetime;
    }
  }
}

void ClaimWaitList::Expire(TimePoint now) {
  for (auto& [epoch, change] : this->changes) {
    if (change.all_blocked_until.has_value() && *change.all_blocked_until <= now) {
      change.all_blocked_until.reset();
    }
    std::erase_if(change.hosts, [now](const auto& item) {
      return item.second.release_at.has_value() && *item.second.release_at <= now;
    });
  }
  std::erase_if(this->changes, [](const auto& item) {
    return !item.second.all_blocked_until.has_value() && item.second.hosts.empty();
  });
}

bool ClaimWaitList::Change::IsOpen() const {
  return this->all_blocked_until.has_value() ||
         std::any_of(this->hosts.begin(), this->hosts.end(),
                     [](const auto& item) { return !item.second.complete; });
}

bool ClaimWaitList::Change::IsNewKey(TimePoint now,
                                     std::optional<std::uint64_t> key_unix_ms) const {
  return this->new_key_bound_unix_ms.has_value() && key_unix_ms.has_value() &&
         now >= this->settled_at && *key_unix_ms > *this->new_key_bound_unix_ms;
}

bool ClaimWaitList::Change::IsBlocked(TimePoint now, std::string_view key,
                                      std::optional<std::uint64_t> key_unix_ms) const {
  if (this->all_blocked_until.has_value() && !this->IsNewKey(now, key_unix_ms)) {
    return true;
  }
  if (this->hosts.empty()) {
    return false;
  }
  const auto found = this->hosts.find(this->before.FindOwner(key));
  return found != this->hosts.end() && !found->second.complete;
}

bool ClaimWaitList::IsBlocked(TimePoint now, std::string_view key,
                              std::optional<std::uint64_t> key_unix_ms) const {
  return std::any_of(this->changes.begin(), this->changes.end(), [&](const auto& item) {
    return item.second.IsBlocked(now, key, key_unix_ms);
  });
}

bool ClaimWaitList::HasWaitBefore(std::uint64_t epoch) const {
  return std::any_of(this->changes.begin(), this->changes.end(), [epoch](const auto& item) {
    return item.first < epoch && item.second.IsOpen();
  });
}

std::vector<ClaimWait> ClaimWaitList::ListWaits() const {
  std::vector<ClaimWait> waits;
  for (const auto& [epoch, change] : this->changes) {
    for (const auto& [name, wait] : change.hosts) {
      if (!wait.complete) {
        waits.push_back(ClaimWait{name, epoch});
      }
    }
  }
  return waits;
}

const ClaimWaitList::HostWait* ClaimWaitList::FindWait(const ClaimWait& wait) const {
  const auto change = this->changes.find(wait.change_epoch);
  if (change == this->changes.end()) {
    return nullptr;
  }
  const auto found = change->second.hosts.find(wait.host);
  return found == change->second.hosts.end() ? nullptr : &found->second;
}

std::optional<std::uint32_t> ClaimWaitList::GetNextPart(const ClaimWait& wait) const {
  const HostWait* found = this->FindWait(wait);
  return found == nullptr ? std::nullopt : std::optional(found->next_part);
}

bool ClaimWaitList::IsComplete(const ClaimWait& wait) const {
  const HostWait* found = this->FindWait(wait);
  return found != nullptr && found->complete;
}

bool ClaimWaitList::IsFromOwner(const ClaimWait& wait, std::string_view key) const {
  const auto change = this->changes.find(wait.change_epoch);
  return change != this->changes.end() && change->second.before.FindOwner(key) == wait.host;
}

void ClaimWaitList::RecordPart(TimePoint now, const ClaimWait& wait, bool complete) {
  HostWait& found = this->changes.at(wait.change_epoch).hosts.find(wait.host)->second;
  ++found.next_part;
  if (complete) {
    found.complete = true;
    found.release_at = now + this->claim_lifetime;
  }
}

}  // namespace lacewingbridge
