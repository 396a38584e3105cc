#include "Membership/host_directory.h"

#include <algorithm>

namespace lacewingbridge {

namespace {

StorePosition GetPosition(const HostRecord& record) { return {record.store_era, record.revision}; }

}  // namespace

bool HostDirectory::Merge(const HostRecord& record) {
  auto [found, added] = this->entries.try_emplace(record.host);
  Entry& entry = found->second;
  if (!added && !entry.removed_at.has_value() && GetPosition(record) < GetPosition(entry.record)) {
    return false;
  }
  const bool changed = added || !(entry.record == record);
  entry.record = record;
  entry.removed_at.reset();
  return changed;
}

void HostDirectory::Remove(TimePoint now, std::string_view host) {
  const auto found = this->entries.find(host);
  if (found != this->entries.end() && !found->second.removed_at.has_value()) {
    found->second.removed_at = now;
    this->any_removed = true;
  }
}

bool HostDirectory::ReplaceAll(TimePoint now, std::span<const HostRecord> records) {
  bool changed = false;
  for (const HostRecord& record : records) {
    changed = this->Merge(record) || changed;
  }
  for (const auto& item : this->entries) {
    const bool listed =
        std::any_of(records.begin(), records.end(),
                    [&item](const HostRecord& record) { return record.host == item.first; });
    if (!listed) {
      this->Remove(now, item.first);
    }
  }
  return changed;
}

bool HostDirectory::DropRemoved(TimePoint now) {
  if (!this->any_removed) {
    return false;
  }
  const std::size_t dropped = std::erase_if(this->entries, [now](const auto& item) {
    const Entry& entry = item.second;
    return entry.removed_at.has_value() && now - *entry.removed_at >= kRemovalDelay &&
           now - entry.last_response >= kRemovalDelay;
  });
  this->any_removed = std::any_of(this->entries.begin(), this->entries.end(), [](const auto& item) {
    return item.second.removed_at.has_value();
  });
  return dropped > 0;
}

void HostDirectory::RecordResponse(TimePoint now, std::string_view peer_address) {
  // The time of the last response matters only for hosts that are marked as removed.
  if (!this->any_removed) {
    return;
  }
  for (auto& [host, entry] : this->entries) {
    if (entry.record.peer_address == peer_address) {
      entry.last_response = now;
    }
  }
}

std::vector<HostRecord> HostDirectory::GetHosts() const {
  std::vector<HostRecord> hosts;
  for (const auto& [host, entry] : this->entries) {
    hosts.push_back(entry.record);
  }
  return hosts;
}

StorePosition HostDirectory::GetNewestPosition() const {
  StorePosition newest;
  for (const auto& [host, entry] : this->entries) {
    newest = std::max(newest, GetPosition(entry.record));
  }
  return newest;
}

}  // namespace lacewingbridge
