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
// Largest number of complete member records in a datagram.
inline constexpr std::size_t kMaxMembersPerDatagram = 8;
// Largest number of suspicions in a datagram. A suspicion carries only a host, an incarnation
// and a sequence.
inline constexpr std::size_t kMaxSuspicionsPerDatagram = 24;
// Packing ends after this many updates that exceed the size limit. Each attempt encodes the
// whole datagram, so a nearly full datagram is sent as it is.
inline constexpr int kMaxRejectedUpdatesPerDatagram = 2;

// Computes the size in bytes of a datagram in the encoding that the daemon sends.
template <typename Sizer>
concept DatagramSizer = requires(const Sizer& sizer, const GossipDatagram& datagram) {
  { sizer(datagram) } -> std::convertible_to<std::size_t>;
};

// Adds queued member updates to the datagram up to its size limit and counts each added
// update as transmitted. For a suspect member only the suspicion is added, not the whole
// record.
template <DatagramSizer Sizer>
void PackMemberUpdates(MemberTable& table, GossipDatagram& datagram, const Sizer& sizer) {
  int rejected_updates = 0;
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
    if (++rejected_updates >= kMaxRejectedUpdatesPerDatagram) {
      break;
    }
  }
}

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_GOSSIP_PACKER_H_
