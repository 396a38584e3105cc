#ifndef LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_LIST_H_
#define LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_LIST_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "mesh.h"

namespace lacewingbridge {

// The daemons of one list of hosts, among which the granting daemon of each share is chosen by
// rendezvous hash. Immutable.
class GranterList {
 public:
  GranterList() = default;
  GranterList(TimePoint now, std::string_view own_host, std::span<const HostRecord> hosts);

  // Returns the position of the daemon that grants the share; the list must not be empty.
  std::size_t Find(std::string_view workspace, std::uint32_t share) const;
  bool IsOwn(std::string_view workspace, std::uint32_t share) const;

  bool IsEmpty() const { return this->names.empty(); }
  const std::string& GetHost(std::size_t position) const { return this->names[position]; }
  const std::string& GetAddress(std::size_t position) const { return this->addresses[position]; }
  // When this list came into force.
  TimePoint GetStart() const { return this->start; }
  bool HasSameHosts(const GranterList& other) const {
    return this->names == other.names && this->addresses == other.addresses;
  }

 private:
  TimePoint start;
  std::string own;
  std::vector<std::string> names;
  std::vector<std::string> addresses;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_QUOTA_GRANTER_LIST_H_
