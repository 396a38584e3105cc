#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TRANSFER_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TRANSFER_H_

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "Claims/claim_owner_view.h"
#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// Provides the claims of a handover: a ClaimTable or ClaimShards.
template <typename Source>
concept ClaimSource = requires(Source& source, TimePoint now, const ClaimOwnerView& view,
                               std::string_view host, std::uint64_t epoch) {
  { source.CollectClaims(now, view, host) } -> std::same_as<std::vector<ClaimRecord>>;
  { source.IsReadyToHandOver(now, epoch) } -> std::same_as<bool>;
  source.ForgetClaims(view, host);
};

// Divides records into parts whose encoded size is at most kMaxTransferPartBytes. Returns at
// least one part, which may be empty.
std::vector<std::vector<ClaimRecord>> SplitClaims(std::vector<ClaimRecord> records);

// Sender side of handovers. When the owner map changes, a host hands over claims to the hosts
// that were added or, if it was removed itself, to all hosts of the new map. It sends one
// part at a time and the next one only after the receiver accepted it, so that the part with
// "complete" set arrives last. A host that missed an epoch hands over nothing; the receivers
// then wait until the claim lifetime has passed. Not safe for concurrent use.
class ClaimTransfer {
 public:
  explicit ClaimTransfer(std::string_view own_host) : host(own_host) {}

  // Adds the handovers that the change to this map requires, and drops those to hosts that it
  // no longer names. Call it after every shard of the table has adopted the map.
  void AdoptMap(const ClaimOwnerView& next);

  // Returns the hosts to which a handover is pending, each once.
  std::vector<std::string> ListDestinations() const;
  // Whether no handover is pending. A draining daemon may then exit.
  bool IsDone() const { return this->pending.empty(); }

  // Returns the next part to send to the host, or nothing when no handover to it is pending
  // or this host still waits for claims that the handover has to include. Returns the same
  // part again until HandleReply reports it as accepted.
  template <ClaimSource Source>
  std::optional<ClaimTransferRequest> MakePart(TimePoint now, Source& source,
                                               std::string_view to_host) {
    Handover* handover = this->FindFirst(to_host);
    if (handover == nullptr) {
      return std::nullopt;
    }
    if (!handover->collected) {
      if (!source.IsReadyToHandOver(now, handover->after.GetEpoch())) {
        return std::nullopt;
      }
      handover->parts = SplitClaims(source.CollectClaims(now, handover->after, to_host));
      handover->collected = true;
    }
    return this->MakeRequest(*handover);
  }

  // Processes the receiver's reply to the part. After the last part was accepted, the claims
  // that were handed over are removed from the source.
  template <ClaimSource Source>
  void HandleReply(Source& source, std::string_view to_host, const ClaimTransferRequest& sent,
                   const ClaimTransferReply& reply) {
    Handover* handover = this->FindFirst(to_host);
    if (handover == nullptr || !this->Advance(*handover, sent, reply)) {
      return;
    }
    source.ForgetClaims(handover->after, to_host);
    this->RemoveFirst(to_host);
  }

  // Returns a request without claims that asks a host for its epoch. Pass the epoch of the
  // reply to ClaimTable::ConfirmEpoch.
  ClaimTransferRequest MakeQuery() const;

 private:
  struct Handover {
    std::string to_host;
    // The map whose change requires the handover.
    ClaimOwnerView after;
    // Whether parts has been filled.
    bool collected = false;
    // All parts are kept until the last one is accepted, because a receiver that restarts
    // before it adopts the map asks for the first part again.
    std::vector<std::vector<ClaimRecord>> parts;
    std::uint32_t next_part = 0;
  };

  // Finds the oldest pending handover to the host.
  Handover* FindFirst(std::string_view to_host);
  void RemoveFirst(std::string_view to_host);
  ClaimTransferRequest MakeRequest(const Handover& handover) const;
  // Moves to the part that the receiver expects next. Returns whether the last part was
  // accepted.
  bool Advance(Handover& handover, const ClaimTransferRequest& sent,
               const ClaimTransferReply& reply);

  std::string host;
  ClaimOwnerView view;
  std::vector<Handover> pending;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TRANSFER_H_
