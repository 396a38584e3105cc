#include "Membership/host_directory.h"

#include <algorithm>

namespace lacewingbridge {

bool HostDirectory::Merge(const HostRecord& record) {
  auto [found, added] = this->entries.try_emplace(record.host);
  Entry& entry = found->second;
  if (!added && !entry.removed_at.has_value() && record.revision < entry.record.revision) {
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
  return std::erase_if(this->entries, [now](const auto& item) {
           const Entry& entry = item.second;
           return entry.removed_at.has_value() && now - *entry.removed_at >= kRemovalDelay &&
                  now - entry.heard_at >= kRemovalDelay;
         }) > 0;
}

void HostDirectory::NoteHeard(TimePoint now, std::string_view peer_address) {
  for (auto& [host, entry] : this->entries) {
    if (entry.record.peer_address == peer_address) {
      entry.heard_at = now;
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

}  // namespace lacewingbridge
