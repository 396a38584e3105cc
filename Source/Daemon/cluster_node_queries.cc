// The queries of ClusterNode. Its inputs and actions are in cluster_node.cc.
#include <algorithm>

#include "Daemon/cluster_node.h"

namespace lacewingbridge {

bool ClusterNode::IsReady() {
  const std::lock_guard guard(this->mutex);
  return this->join.IsReady();
}

MemberRecord ClusterNode::GetOwnRecord() {
  const std::lock_guard guard(this->mutex);
  return this->table.GetSelf();
}

bool ClusterNode::HasFirstSibling() {
  const std::lock_guard guard(this->mutex);
  return SpreadRelay::GetFirstDataCentre(this->table, this->settings.region) !=
         this->settings.data_centre;
}

bool ClusterNode::IsDistrusted() {
  const std::lock_guard guard(this->mutex);
  return this->prober.IsDistrusted();
}

bool ClusterNode::IsCutOff(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  const auto data_centres = this->table.ListDataCentres();
  return this->prober.IsDistrusted() ||
         std::any_of(data_centres.begin(), data_centres.end(), [this, now](const auto& entry) {
           return entry.first != this->settings.data_centre &&
                  !this->progress.HasRecent(entry.first, now);
         });
}

std::vector<MemberRecord> ClusterNode::ListMembers() {
  const std::lock_guard guard(this->mutex);
  std::vector<MemberRecord> members;
  for (const MemberRecord* record : this->table.ListMembers("")) {
    members.push_back(*record);
  }
  return members;
}

std::vector<WatchMember> ClusterNode::ListScopeMembers(bool region_scope) {
  const std::lock_guard guard(this->mutex);
  std::vector<WatchMember> members;
  for (const MemberRecord* record : this->table.ListMembers("")) {
    const bool in_scope = region_scope ? record->region == this->settings.region
                                       : record->data_centre == this->settings.data_centre;
    if (in_scope) {
      members.push_back({record->host, record->incarnation});
    }
  }
  return members;
}

std::vector<DataCentreProgress> ClusterNode::ListProgress(TimePoint now) {
  const std::lock_guard guard(this->mutex);
  return this->progress.List(now);
}

bool ClusterNode::KnowsNewerVersion(const VersionStamp& version) {
  const std::lock_guard guard(this->mutex);
  return this->spread.KnowsNewer(version) || this->progress.KnowsNewer(version);
}

bool ClusterNode::HasOtherActiveMember() {
  const std::lock_guard guard(this->mutex);
  const std::vector<const MemberRecord*> members = this->table.ListMembers("");
  return std::any_of(members.begin(), members.end(), [this](const MemberRecord* record) {
    return record->host != this->settings.host && record->state == MemberState::kAlive;
  });
}

bool ClusterNode::IsOwnDataCentre(std::string_view host) {
  const std::lock_guard guard(this->mutex);
  const MemberRecord* record = this->table.Find(host);
  return record != nullptr && record->data_centre == this->settings.data_centre;
}

std::string ClusterNode::FindControlAddress(std::string_view host) {
  const std::lock_guard guard(this->mutex);
  const MemberRecord* record = this->table.Find(host);
  return record == nullptr ? std::string() : record->control_address;
}

std::vector<std::string> ClusterNode::ListSeedAddresses(std::size_t count) {
  const std::lock_guard guard(this->mutex);
  std::vector<std::string> addresses;
  for (const MemberRecord* record : this->table.ListMembers(this->settings.data_centre)) {
    if (addresses.size() < count) {
      addresses.push_back(record->control_address);
    }
  }
  return addresses;
}

}  // namespace lacewingbridge
