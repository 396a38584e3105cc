#include "Membership/target_registry.h"

namespace lacewingbridge {

namespace {

// Ignores the reported load. It changes so often that a change of the load alone does not
// justify a gossip update.
bool IsSameForPeers(const TargetRecord& left, const TargetRecord& right) {
  return left.service == right.service && left.slots == right.slots &&
         left.draining == right.draining && left.incarnation == right.incarnation;
}

}  // namespace

std::vector<TargetRegistry::Change> TargetRegistry::Announce(const TargetAnnouncement& announcement,
                                                             TimePoint now) {
  TargetRecord target;
  target.service = announcement.service;
  target.address = announcement.address;
  target.slots = announcement.slots;
  target.draining = announcement.draining;
  target.reported_load_permille = announcement.reported_load_permille;
  target.incarnation = announcement.incarnation;

  const auto found = this->entries.find(target.address);
  if (found == this->entries.end() && this->entries.size() >= kMaxTargets) {
    return {};
  }
  const bool is_new = found == this->entries.end();
  const bool changed = is_new || !IsSameForPeers(found->second.target, target);
  this->entries[target.address] = {target, now};
  if (!changed) {
    return {};
  }
  return {{target.draining ? Event::kTargetDraining : Event::kTargetAnnounced, target}};
}

std::vector<TargetRegistry::Change> TargetRegistry::Expire(TimePoint now) {
  std::vector<Change> changes;
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    if (now - entry->second.renewed < kAnnouncementLifetime) {
      ++entry;
      continue;
    }
    // A target that announced that it drains is expected to stop, so no event is logged.
    const bool expected = entry->second.target.draining;
    changes.push_back({expected ? Event::kNone : Event::kTargetGone, entry->second.target});
    entry = this->entries.erase(entry);
  }
  return changes;
}

std::vector<TargetRecord> TargetRegistry::ListTargets() const {
  std::vector<TargetRecord> targets;
  targets.reserve(this->entries.size());
  for (const auto& [address, entry] : this->entries) {
    targets.push_back(entry.target);
  }
  return targets;
}

}  // namespace lacewingbridge
