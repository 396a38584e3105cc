#ifndef LACEWINGBRIDGE_SOURCE_STORE_HOST_RECORDS_H_
#define LACEWINGBRIDGE_SOURCE_STORE_HOST_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "mesh.h"

namespace lacewingbridge {

class TargetGate;
struct MeshIdentity;
struct StoreItem;

// Reads the record of a host from an item of the store that has a value. The key of the item is the
// prefix and the name of the host. An unreadable record is logged and gives no host.
std::optional<HostRecord> ReadHostRecord(const StoreItem& item, std::uint64_t store_era,
                                         std::string_view prefix);

// Returns the record of this host.
HostRecord MakeHostRecord(const MeshIdentity& self, TargetGate& gate);

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_STORE_HOST_RECORDS_H_
