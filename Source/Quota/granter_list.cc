#include "Quota/granter_list.h"

#include "Core/hash.h"

namespace lacewingbridge {

GranterList::GranterList(TimePoint now, std::string_view own_host,
                         std::span<const HostRecord> hosts)
    : start(now), own(own_host) {
  for (const HostRecord& record : hosts) {
    if (!record.peer_address.empty()) {
      this->names.push_back(record.host);
      this->addresses.push_back(record.peer_address);
    }
  }
}

std::size_t GranterList::Find(std::string_view workspace, std::uint32_t share) const {
  std::string key(workspace);
  key += '/';
  key += std::to_string(share);
  return SelectByHash(key, this->names);
}

bool GranterList::IsOwn(std::string_view workspace, std::uint32_t share) const {
  return !this->IsEmpty() && this->names[this->Find(workspace, share)] == this->own;
}

}  // namespace lacewingbridge
