#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_

#include <concepts>
#include <cstddef>
#include <utility>

#include "Membership/member_table.h"
#include "membership.h"

namespace lacewingbridge {

// Fits an unfragmented UDP packet on links with a 1,280-byte minimum MTU.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kMaxMembersPerDatagram = 8;

// Size in bytes of a datagram in the encoding that the front end uses.
template <typename Sizer>
concept DatagramSizer = requires(const Sizer& sizer, const GossipDatagram& datagram) {
  { sizer(datagram) } -> std::convertible_to<std::size_t>;
};

// Adds queued member updates while the datagram keeps its size limit, and counts
// their transmission.
template <DatagramSizer Sizer>
void PackMemberUpdates(MemberTable& table, GossipDatagram& datagram, const Sizer& sizer) {
  if (datagram.members.size() >= kMaxMembersPerDatagram) {
    return;
  }
  const std::size_t room = kMaxMembersPerDatagram - datagram.members.size();
  for (MemberRecord& record : table.ListUpdates(room)) {
    datagram.members.push_back(std::move(record));
    if (sizer(datagram) > kMaxDatagramBytes) {
      datagram.members.pop_back();
      continue;
    }
    table.CountTransmission(datagram.members.back().host);
  }
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_
