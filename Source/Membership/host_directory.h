#ifndef LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_
#define LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Core/time_point.h"
#include "mesh.h"

namespace lacewingbridge {

// The hosts of the fleet as the store lists them. A record that disappears is kept for a
// while: leases lapse while the store is away, and living hosts are listed again soon
// after its return. Requests to a host that is really gone fail to connect and are placed
// elsewhere.
class HostDirectory {
 public:
  // Hosts whose leases lapsed are back within about two seconds of the store's return.
  static constexpr Duration kRemovalDelay = std::chrono::seconds(3);

  // Adds or replaces a record unless a newer one of the host is known. Returns whether
  // something changed.
  bool Merge(const HostRecord& record);
  void Remove(TimePoint now, std::string_view host);
  // The complete list of the store: hosts that it lacks are removed.
  bool ReplaceAll(TimePoint now, std::span<const HostRecord> records);
  // The host has answered a request. A host that the store cannot list at present is kept
  // as long as it answers.
  void NoteHeard(TimePoint now, std::string_view peer_address);
  // Drops the hosts whose removal is due. Returns whether there were any.
  bool DropRemoved(TimePoint now);

  std::vector<HostRecord> GetHosts() const;

 private:
  struct Entry {
    HostRecord record;
    std::optional<TimePoint> removed_at;
    TimePoint heard_at;
  };

  std::map<std::string, Entry, std::less<>> entries;
  bool any_removed = false;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_MEMBERSHIP_HOST_DIRECTORY_H_
