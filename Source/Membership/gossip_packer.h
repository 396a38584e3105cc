#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_

#include <concepts>
#include <cstddef>
#include <string>
#include <utility>

#include "Membership/member_table.h"
#include "membership.h"

namespace lacewingbridge {

// Fits an unfragmented UDP packet on links with a 1,280-byte minimum MTU.
inline constexpr std::size_t kMaxDatagramBytes = 1200;
inline constexpr std::size_t kMaxMembersPerDatagram = 8;
inline constexpr std::size_t kMaxSuspicionsPerDatagram = 24;
inline constexpr int kMaxMisfitsPerDatagram = 2;

// Size in bytes of a datagram in the encoding that the front end uses.
template <typename Sizer>
concept DatagramSizer = requires(const Sizer& sizer, const GossipDatagram& datagram) {
  { sizer(datagram) } -> std::convertible_to<std::size_t>;
};

// Adds queued member updates while the datagram keeps its size limit, and counts
// their transmission. Suspicions go without the rest of the record.
template <DatagramSizer Sizer>
void PackMemberUpdates(MemberTable& table, GossipDatagram& datagram, const Sizer& sizer) {
  // Each try costs an encoding of the datagram, so a nearly full one is left at that.
  int misfits = 0;
  for (MemberRecord& record :
       table.ListUpdates(kMaxMembersPerDatagram + kMaxSuspicionsPerDatagram)) {
    const bool suspect = record.state == MemberState::kSuspect;
    if (suspect ? datagram.suspicions.size() >= kMaxSuspicionsPerDatagram
                : datagram.members.size() >= kMaxMembersPerDatagram) {
      continue;
    }
    const std::string host = record.host;
    if (suspect) {
      datagram.suspicions.push_back({host, record.incarnation, record.sequence});
    } else {
      datagram.members.push_back(std::move(record));
    }
    if (sizer(datagram) <= kMaxDatagramBytes) {
      table.CountTransmission(host);
      continue;
    }
    if (suspect) {
      datagram.suspicions.pop_back();
    } else {
      datagram.members.pop_back();
    }
    if (++misfits >= kMaxMisfitsPerDatagram) {
      break;
    }
  }
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_
