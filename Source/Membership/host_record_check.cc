#include "Membership/host_record_check.h"

#include <string>
#include <utility>

#include "Core/socket_address.h"
#include "mesh.h"

namespace lacewingbridge {

namespace {

Error MakeError(std::string detail) { return {ErrorKind::kMalformedMessage, std::move(detail)}; }

}  // namespace

Status CheckHostRecord(const HostRecord& record, std::string_view host) {
  if (record.host != host) {
    return MakeError("the record names host \"" + record.host + "\"; remove the key");
  }
  const Result<SocketAddress> address = SocketAddress::Parse(record.peer_address);
  if (!IsOk(address)) {
    return GetError(address);
  }
  if (record.target.has_value() && record.target->slots > kMaxTargetSlots) {
    return MakeError("slots=" + std::to_string(record.target->slots) + " exceeds " +
                     std::to_string(kMaxTargetSlots));
  }
  return MakeOkStatus();
}

}  // namespace lacewingbridge
