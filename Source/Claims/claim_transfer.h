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

// Where a hand-over takes its claims from: one ClaimTable, or all shards of one.
template <typename Source>
concept ClaimSource = requires(Source& source, TimePoint now, const ClaimOwnerView& view,
                               std::string_view host, std::uint64_t epoch) {
  { source.CollectClaims(now, view, host) } -> std::same_as<std::vector<ClaimRecord>>;
  { source.IsReadyToHandOver(now, epoch) } -> std::same_as<bool>;
  source.ForgetClaims(view, host);
};

// Divides records into parts whose encoding fits kMaxTransferPartBytes; at least one part.
std::vector<std::vector<ClaimRecord>> SplitClaims(std::vector<ClaimRecord> records);

// Sender side of hand-overs. A host hands over to the hosts that a map change added, and
// when it was removed itself, to all hosts of the new map. It sends one part at a time
// and the next one after the receiver accepted it, so that "complete" arrives last. A host
// that missed an epoch hands over nothing; the receivers wait out the claim memory.
class ClaimTransfer {
 public:
  explicit ClaimTransfer(std::string_view own_host) : host(own_host) {}

  // Called after every shard of the table has adopted the map.
  void AdoptMap(const ClaimOwnerView& next);

  // Hosts that wait for a hand-over, each once.
  std::vector<std::string> ListDestinations() const;
  // Whether everything has been handed over; a draining daemon then may exit.
  bool IsDone() const { return this->pending.empty(); }

  // The part to send to the host, or nothing while an earlier hand-over to this host is
  // incomplete. The same part again until HandleReply.
  template <ClaimSource Source>
  std::optional<ClaimTransferRequest> MakePart(TimePoint now, Source& source,
                                               std::string_view to_host) {
    HandOver* hand_over = this->FindFirst(to_host);
    if (hand_over == nullptr) {
      return std::nullopt;
    }
    if (!hand_over->collected) {
      if (!source.IsReadyToHandOver(now, hand_over->after.GetEpoch())) {
        return std::nullopt;
      }
      hand_over->parts = SplitClaims(source.CollectClaims(now, hand_over->after, to_host));
      hand_over->collected = true;
    }
    return this->MakeRequest(*hand_over);
  }

  // Takes the receiver's answer to the part. Claims that were handed over are dropped
  // from the source.
  template <ClaimSource Source>
  void HandleReply(Source& source, std::string_view to_host, const ClaimTransferRequest& sent,
                   const ClaimTransferReply& reply) {
    HandOver* hand_over = this->FindFirst(to_host);
    if (hand_over == nullptr || !this->Advance(*hand_over, sent, reply)) {
      return;
    }
    source.ForgetClaims(hand_over->after, to_host);
    this->RemoveFirst(to_host);
  }

  // Asks a host for its epoch; its reply feeds ClaimTable::ConfirmEpoch.
  ClaimTransferRequest MakeQuery() const;

 private:
  struct HandOver {
    std::string to_host;
    ClaimOwnerView after;
    bool collected = false;
    // Kept whole until the last part is accepted: a receiver that was restarted before it
    // adopted the map asks for the first part again.
    std::vector<std::vector<ClaimRecord>> parts;
    std::uint32_t next_part = 0;
  };

  HandOver* FindFirst(std::string_view to_host);
  void RemoveFirst(std::string_view to_host);
  ClaimTransferRequest MakeRequest(const HandOver& hand_over) const;
  // Returns whether the last part was accepted.
  bool Advance(HandOver& hand_over, const ClaimTransferRequest& sent,
               const ClaimTransferReply& reply);

  std::string host;
  ClaimOwnerView view;
  std::vector<HandOver> pending;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_TRANSFER_H_
