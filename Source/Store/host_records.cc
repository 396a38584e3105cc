#include "Store/host_records.h"

#include <utility>

#include "Core/result.h"
#include "Membership/host_record_check.h"
#include "Observe/event_log.h"
#include "Proxy/mesh_identity.h"
#include "Proxy/target_gate.h"
#include "Store/lease_store.h"
#include "mesh_codec.h"

namespace lacewingbridge {

std::optional<HostRecord> ReadHostRecord(const StoreItem& item, std::uint64_t store_era,
                                         std::string_view prefix) {
  HostRecord record;
  Status status = Error{ErrorKind::kMalformedMessage, "the value is not a record of a host"};
  if (Decode(*item.value, record)) {
    status = CheckHostRecord(record, item.key.substr(prefix.size()));
  }
  if (!IsOk(status)) {
    EventLog::Write(Event::kRecordUnreadable, "key={} revision={} reason=\"{}\"", item.key,
                    item.revision, GetError(status).GetMessage());
    return std::nullopt;
  }
  record.revision = item.revision;
  record.store_era = store_era;
  return record;
}

HostRecord MakeHostRecord(const MeshIdentity& self, TargetGate& gate) {
  HostRecord record;
  record.host = self.host;
  record.data_centre = self.data_centre;
  record.region = self.region;
  record.peer_address = self.peer_address;
  LocalTargetRecord target = gate.MakeRecord();
  if (!target.id.empty()) {
    record.target = std::move(target);
  }
  return record;
}

}  // namespace lacewingbridge
