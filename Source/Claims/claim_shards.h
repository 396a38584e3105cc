#ifndef LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_SHARDS_H_
#define LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_SHARDS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "Claims/claim_limits.h"
#include "Claims/claim_owner_view.h"
#include "Claims/claim_table.h"
#include "Core/result.h"
#include "Core/sharded.h"
#include "Core/time_point.h"
#include "peer.h"

namespace lacewingbridge {

// The claims of one host, divided by the hash of the key into shards. Each shard is a
// ClaimTable under its own lock; see there for the meaning of the functions. All functions
// are safe to call from several threads, except that two calls of AdoptMap must not overlap.
class ClaimShards {
 public:
  // Divides the capacities of the limits equally among the shards. A shard that is full
  // refuses new keys even if others have capacity left. Fails when shard_count is 0 or
  // ClaimTable::Create fails.
  static Result<ClaimShards> Create(std::string_view host, std::uint64_t incarnation,
                                    const ClaimLimits& limits, std::size_t shard_count,
                                    std::uint64_t started_unix_ms = 0);

  // Every shard holds the map on return. Call ClaimTransfer::AdoptMap only after that.
  void AdoptMap(TimePoint now, const ClaimOwnerView& next);
  ClaimReply Claim(TimePoint now, std::uint64_t unix_ms, const ClaimRequest& request);
  ClaimDoneReply Finish(TimePoint now, const ClaimDoneRequest& request);
  std::size_t MarkCallerGone(TimePoint now, std::string_view caller_host,
                             std::uint64_t incarnation);
  void SetIsolated(bool isolated);
  void SetConnected(bool connected);

  // A part is accepted when every shard accepts it. The reply contains the lowest epoch and
  // the lowest next part of all shards.
  ClaimTransferReply AcceptTransfer(TimePoint now, const ClaimTransferRequest& request);
  void ConfirmEpoch(TimePoint now, std::string_view from_host, std::uint64_t epoch);
  // Returns the handovers that at least one shard waits for, each once.
  std::vector<ClaimWait> ListWaits(TimePoint now);

  std::vector<ClaimRecord> CollectClaims(TimePoint now, const ClaimOwnerView& view,
                                         std::string_view to_host);
  bool IsReadyToHandOver(TimePoint now, std::uint64_t change_epoch);
  void ForgetClaims(const ClaimOwnerView& view, std::string_view to_host);

  std::size_t GetKeyCount();
  std::size_t GetByteCount();

 private:
  explicit ClaimShards(Sharded<ClaimTable> tables) : shards(std::move(tables)) {}

  Sharded<ClaimTable> shards;
};

}  // namespace lacewingbridge

#endif  // LACEWINGBRIDGE_SOURCE_CLAIMS_CLAIM_SHARDS_H_
