#include "Claims/claim_transfer.h"

#include <algorithm>
#include <utility>

#include "Claims/claim_limits.h"

namespace lacewingbridge {

namespace {

// Upper bound of the encoded size of a request without its records, including the name of
// the sender.
constexpr std::size_t kPartHeaderBytes = 512;

std::size_t CountEncodedBytes(const ClaimRecord& record) {
  return kClaimRecordOverheadBytes + record.key.size() + record.answer.size() +
         record.content_type.size() + record.caller_host.size() + record.workspace.size();
}

}  // namespace

std::vector<std::vector<ClaimRecord>> SplitClaims(std::vector<ClaimRecord> records) {
  std::vector<std::vector<ClaimRecord>> parts(1);
  std::size_t part_bytes = kPartHeaderBytes;
  for (ClaimRecord& record : records) {
    const std::size_t bytes = CountEncodedBytes(record);
    if (part_bytes + bytes > kMaxTransferPartBytes) {
      parts.emplace_back();
      part_bytes = kPartHeaderBytes;
    }
    part_bytes += bytes;
    parts.back().push_back(std::move(record));
  }
  return parts;
}

void ClaimTransfer::AdoptMap(const ClaimOwnerView& next) {
  if (next.GetEpoch() <= this->view.GetEpoch()) {
    return;
  }
  const ClaimOwnerView before = this->view;
  this->view = next;
  std::erase_if(this->pending,
                [&next](const Handover& item) { return !next.HasHost(item.to_host); });
  if (next.GetEpoch() != before.GetEpoch() + 1 || !before.HasHost(this->host)) {
    return;
  }
  const bool removed = !next.HasHost(this->host);
  for (const std::string& to_host : next.GetHosts()) {
    if (removed || !before.HasHost(to_host)) {
      Handover handover;
      handover.to_host = to_host;
      handover.after = next;
      this->pending.push_back(std::move(handover));
    }
  }
}

std::vector<std::string> ClaimTransfer::ListDestinations() const {
  std::vector<std::string> hosts;
  for (const Handover& handover : this->pending) {
    if (std::find(hosts.begin(), hosts.end(), handover.to_host) == hosts.end()) {
      hosts.push_back(handover.to_host);
    }
  }
  return hosts;
}

ClaimTransferRequest ClaimTransfer::MakeQuery() const {
  ClaimTransferRequest request;
  request.owner_map_epoch = this->view.GetEpoch();
  request.from_host = this->host;
  return request;
}

ClaimTransfer::Handover* ClaimTransfer::FindFirst(std::string_view to_host) {
  const auto found =
      std::find_if(this->pending.begin(), this->pending.end(),
                   [to_host](const Handover& item) { return item.to_host == to_host; });
  return found == this->pending.end() ? nullptr : &*found;
}

void ClaimTransfer::RemoveFirst(std::string_view to_host) {
  const auto found =
      std::find_if(this->pending.begin(), this->pending.end(),
                   [to_host](const Handover& item) { return item.to_host == to_host; });
  this->pending.erase(found);
}

ClaimTransferRequest ClaimTransfer::MakeRequest(const Handover& handover) const {
  ClaimTransferRequest request = this->MakeQuery();
  request.change_epoch = handover.after.GetEpoch();
  request.part = handover.next_part;
  request.claims = handover.parts[handover.next_part];
  request.complete = handover.next_part + 1 == handover.parts.size();
  return request;
}

bool ClaimTransfer::Advance(Handover& handover, const ClaimTransferRequest& sent,
                            const ClaimTransferReply& reply) {
  const std::uint64_t change_epoch = handover.after.GetEpoch();
  if (sent.change_epoch != change_epoch || sent.part != handover.next_part ||
      reply.owner_map_epoch < change_epoch) {
    return false;
  }
  if (!reply.accepted) {
    handover.next_part = std::min(handover.next_part, reply.next_part);
    return false;
  }
  ++handover.next_part;
  return handover.next_part == handover.parts.size();
}

}  // namespace lacewingbridge
