#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "Membership/store_position.h"
#include "mesh.h"

namespace lacewingbridge {

// The hosts of the fleet as the store lists them. A record that disappears from the store
// is kept for kRemovalDelay, because leases expire during an outage of the store and live
// hosts are listed again soon after it. A request to a host that is down fails to connect
// and is sent to another host.
class HostDirectory {
 public:
  // Hosts whose leases expired are listed again within about two seconds after the store
  // becomes available.
  static constexpr Duration kRemovalDelay = std::chrono::seconds(3);

  // Adds or replaces a record unless a record of the host with a higher position is known.
  // After a removal any position is accepted. Returns whether a record was added or changed.
  bool Merge(const HostRecord& record);
  // Marks the host as removed from the store. DropRemoved drops it later.
  void Remove(TimePoint now, std::string_view host);
  // Merges the complete list of the store and marks all other hosts as removed. Returns
  // whether a record was added or changed.
  bool ReplaceAll(TimePoint now, std::span<const HostRecord> records);
  // Records a response of the host at this address. A host that is removed from the store
  // is kept as long as it responds.
  void RecordResponse(TimePoint now, std::string_view peer_address);
  // Drops the hosts that were removed, and have not responded, for kRemovalDelay. Returns
  // whether any were dropped.
  bool DropRemoved(TimePoint now);

  std::vector<HostRecord> GetHosts() const;
  // Returns the newest position among the records.
  StorePosition GetNewestPosition() const;

 private:
  struct Entry {
    HostRecord record;
    std::optional<TimePoint> removed_at;
    // Only recorded while some host is marked as removed.
    TimePoint last_response;
  };

  std::map<std::string, Entry, std::less<>> entries;
  bool any_removed = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_
